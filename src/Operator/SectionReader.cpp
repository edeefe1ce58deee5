#include "Operator/SectionReader.h"

#include <Poco/NumberParser.h>
#include <algorithm>

namespace parsleywing {

std::string SectionReader::text(const std::string &Key,
                                const std::string &Default) {
  this->KnownKeys.push_back(Key);
  const IniEntry *Entry = this->Section.find(Key);
  return Entry ? Entry->Value : Default;
}

std::string SectionReader::requiredText(const std::string &Key) {
  std::string Value = this->text(Key, "");
  if (Value.empty())
    this->failAt(Key, "is required and must not be empty");
  return Value;
}

std::uint32_t SectionReader::count(const std::string &Key,
                                   std::uint32_t Default, std::uint32_t Max) {
  const std::string Value = this->text(Key, std::to_string(Default));
  unsigned Number = 0;
  if (!Poco::NumberParser::tryParseUnsigned(Value, Number) || Number < 1 ||
      Number > Max) {
    this->failAt(Key, "must be a whole number from 1 to " +
                          std::to_string(Max) + ", not '" + Value + "'");
    return Default;
  }
  return Number;
}

bool SectionReader::yesOrNo(const std::string &Key, bool Default) {
  const std::string Value = this->text(Key, Default ? "yes" : "no");
  if (Value != "yes" && Value != "no")
    this->failAt(Key, "must be yes or no, not '" + Value + "'");
  return Value == "yes";
}

void SectionReader::failAt(const std::string &Key, const std::string &Problem) {
  const IniEntry *Entry = this->Section.find(Key);
  const IniEntry Missing{Key, "", this->Section.Line};
  this->fail(this->File.place(this->Section, Entry ? *Entry : Missing) + " " +
             Problem);
}

std::string SectionReader::finish() {
  for (const IniEntry &Entry : this->Section.Entries) {
    if (std::ranges::find(this->KnownKeys, Entry.Key) != this->KnownKeys.end())
      continue;
    std::string Allowed;
    for (const std::string &Key : this->KnownKeys)
      Allowed += (Allowed.empty() ? "" : ", ") + Key;
    this->failAt(Entry.Key, "is not a known key; allowed are " + Allowed);
  }
  return this->Problem;
}

void SectionReader::fail(std::string Message) {
  if (this->Problem.empty())
    this->Problem = std::move(Message);
}

} // namespace parsleywing
