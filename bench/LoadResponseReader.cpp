#include "LoadResponseReader.h"

#include <Poco/String.h>
#include <charconv>

namespace parsleywing::bench {

namespace {

constexpr std::string_view HeaderEnd = "\r\n\r\n";
constexpr std::string_view LineEnd = "\r\n";
constexpr std::string_view EventEnd = "\n\n";

/// Returns the number after the prefix, or `Default` if there is none.
std::int64_t numberAfter(std::string_view Text, std::string_view Prefix,
                         std::int64_t Default) {
  const std::size_t Position = Text.find(Prefix);
  if (Position == std::string_view::npos)
    return Default;
  const std::string_view Rest = Text.substr(Position + Prefix.size());
  std::int64_t Number = Default;
  std::from_chars(Rest.data(), Rest.data() + Rest.size(), Number);
  return Number;
}

/// Returns the text after the prefix, up to the next quote.
std::string_view textAfter(std::string_view Text, std::string_view Prefix) {
  const std::size_t Position = Text.find(Prefix);
  if (Position == std::string_view::npos)
    return {};
  const std::string_view Rest = Text.substr(Position + Prefix.size());
  return Rest.substr(0, Rest.find('"'));
}

} // namespace

void LoadResponseReader::feed(std::string_view Bytes) {
  this->Pending += Bytes;
  if (!this->InBody && !this->readHeader())
    return;
  if (this->Chunked) {
    while (!this->Ended && this->readChunk()) {
    }
    return;
  }
  this->BodyBytes += this->Pending.size();
  this->readBody(this->Pending);
  this->Pending.clear();
  if (this->ContentLength > 0 && this->BodyBytes >= this->ContentLength)
    this->Ended = true;
}

bool LoadResponseReader::readHeader() {
  const std::size_t End = this->Pending.find(HeaderEnd);
  if (End == std::string::npos)
    return false;
  this->Header = this->Pending.substr(0, End + LineEnd.size());
  this->Pending.erase(0, End + HeaderEnd.size());
  this->InBody = true;
  this->Status = static_cast<int>(numberAfter(this->Header, "HTTP/1.1 ", 0));
  this->Chunked = this->headerValue("Transfer-Encoding") == "chunked";
  this->Stream = this->headerValue("Content-Type") == "text/event-stream";
  this->Outcome = this->headerValue("X-Outcome");
  this->RequestId = this->headerValue("X-Request-Id");
  this->ContentLength = static_cast<std::size_t>(
      numberAfter("n" + this->headerValue("Content-Length"), "n", 0));
  this->RetryAfterSeconds = static_cast<unsigned>(
      numberAfter("n" + this->headerValue("Retry-After"), "n", 0));
  return true;
}

std::string LoadResponseReader::headerValue(std::string_view Name) const {
  std::size_t Start = this->Header.find(LineEnd);
  while (Start != std::string::npos) {
    Start += LineEnd.size();
    const std::size_t End = this->Header.find(LineEnd, Start);
    if (End == std::string::npos)
      return {};
    const std::string Line = this->Header.substr(Start, End - Start);
    const std::size_t Colon = Line.find(':');
    if (Colon != std::string::npos &&
        Poco::icompare(Line.substr(0, Colon), std::string(Name)) == 0)
      return Poco::trim(Line.substr(Colon + 1));
    Start = End;
  }
  return {};
}

bool LoadResponseReader::readChunk() {
  const std::size_t SizeEnd = this->Pending.find(LineEnd);
  if (SizeEnd == std::string::npos)
    return false;
  constexpr int Hexadecimal = 16;
  std::size_t Size = 0;
  std::from_chars(this->Pending.data(), this->Pending.data() + SizeEnd, Size,
                  Hexadecimal);
  const std::size_t Start = SizeEnd + LineEnd.size();
  if (this->Pending.size() < Start + Size + LineEnd.size())
    return false;
  if (Size == 0)
    this->Ended = true;
  this->readBody(std::string_view(this->Pending).substr(Start, Size));
  this->Pending.erase(0, Start + Size + LineEnd.size());
  return true;
}

void LoadResponseReader::readBody(std::string_view Bytes) {
  if (!this->Stream)
    return;
  this->Body += Bytes;
  std::size_t End = this->Body.find(EventEnd);
  while (End != std::string::npos) {
    this->readEvent(std::string_view(this->Body).substr(0, End));
    this->Body.erase(0, End + EventEnd.size());
    End = this->Body.find(EventEnd);
  }
}

void LoadResponseReader::readEvent(std::string_view Event) {
  if (Event.starts_with(":"))
    return; // A keep-alive comment.
  this->checkSequence(Event);
  if (Event.starts_with("event: response.output_text.delta")) {
    this->readDelta(Event);
  } else if (Event.starts_with("event: response.completed")) {
    this->Completed = true;
    this->Outcome = "completed";
    this->ReportedTokens =
        static_cast<std::uint64_t>(numberAfter(Event, "\"output_tokens\":", 0));
  } else if (Event.starts_with("event: response.incomplete")) {
    this->Outcome =
        "incomplete, " + std::string(textAfter(Event, "\"outcome\":\""));
  }
}

void LoadResponseReader::checkSequence(std::string_view Event) {
  const std::int64_t Sequence =
      numberAfter(Event, "\"sequence_number\":", this->LastSequence + 1);
  if (this->LastSequence >= 0 && Sequence != this->LastSequence + 1)
    this->OutOfOrder = true;
  this->LastSequence = Sequence;
}

void LoadResponseReader::readDelta(std::string_view Event) {
  std::string_view Text = textAfter(Event, "\"delta\":\"");
  while (!Text.empty()) {
    const std::string Expected = "t" + std::to_string(this->Tokens) + " ";
    if (!Text.starts_with(Expected)) {
      this->OutOfOrder = true;
      return;
    }
    ++this->Tokens;
    Text.remove_prefix(Expected.size());
  }
}

} // namespace parsleywing::bench
