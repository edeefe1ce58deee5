#include "Http/HttpHead.h"

#include "Runtime/HeapBytes.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace parsleywing {

namespace {

constexpr std::string_view LineEnd = "\r\n";
constexpr std::string_view HeadEnd = "\r\n\r\n";
constexpr std::string_view CurrentVersion = "HTTP/1.1";
constexpr std::string_view PreviousVersion = "HTTP/1.0";
constexpr std::size_t StatusDigits = 3;
constexpr int MinStatus = 100;
constexpr int MaxStatus = 599;

/// Hop-by-hop fields (RFC 9110, 7.6.1).
constexpr std::array<std::string_view, 8> HopByHopFields{
    "Connection", "Keep-Alive",        "Proxy-Connection", "TE",
    "Trailer",    "Transfer-Encoding", "Upgrade",          "Expect"};

char lower(char C) {
  return C >= 'A' && C <= 'Z' ? static_cast<char>(C - 'A' + 'a') : C;
}

bool isTokenCharacter(char C) {
  constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
  return (C >= '0' && C <= '9') || (C >= 'A' && C <= 'Z') ||
         (C >= 'a' && C <= 'z') || Marks.find(C) != std::string_view::npos;
}

bool isToken(std::string_view Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), [](char C) {
    return isTokenCharacter(C);
  });
}

bool hasControlCharacter(std::string_view Text) {
  constexpr unsigned char FirstPrintable = 0x20;
  constexpr unsigned char Delete = 0x7F;
  return std::any_of(Text.begin(), Text.end(), [](char C) {
    const auto Byte = static_cast<unsigned char>(C);
    return (Byte < FirstPrintable && C != '\t') || Byte == Delete;
  });
}

tl::unexpected<Error> malformed(const char *Message) {
  return failure(ErrorCode::Malformed, Message);
}

Result<void> parseFields(std::string_view Text, HttpHead &Head) {
  while (!Text.empty()) {
    const std::size_t End = Text.find(LineEnd);
    if (End == std::string_view::npos)
      return malformed("a header line is not terminated");
    const std::string_view Line = Text.substr(0, End);
    Text.remove_prefix(End + LineEnd.size());
    if (Line.empty())
      return {};
    Result<HttpField> Field = parseField(Line);
    if (!Field)
      return tl::unexpected(Field.error());
    Head.Fields.push_back(std::move(*Field));
  }
  return {};
}

Result<void> parseRequestLine(std::string_view Line, HttpHead &Head) {
  const std::size_t FirstSpace = Line.find(' ');
  const std::size_t LastSpace = Line.rfind(' ');
  if (FirstSpace == std::string_view::npos || FirstSpace == LastSpace)
    return malformed("the request line does not have three parts");
  const std::string_view Method = Line.substr(0, FirstSpace);
  const std::string_view Target =
      Line.substr(FirstSpace + 1, LastSpace - FirstSpace - 1);
  const std::string_view Version = Line.substr(LastSpace + 1);
  if (!isToken(Method))
    return malformed("the request method is invalid");
  if (Target.empty() || Target.find(' ') != std::string_view::npos ||
      hasControlCharacter(Target))
    return malformed("the request target is invalid");
  if (Version != CurrentVersion && Version != PreviousVersion)
    return malformed("the HTTP version is not supported");
  Head.Method = Method;
  Head.Target = Target;
  Head.IsHttp10 = Version == PreviousVersion;
  return {};
}

Result<void> parseStatusLine(std::string_view Line, HttpHead &Head) {
  const std::string_view Version = Line.substr(0, CurrentVersion.size());
  if (Version != CurrentVersion && Version != PreviousVersion)
    return malformed("the status line does not have a supported HTTP version");
  Line.remove_prefix(CurrentVersion.size());
  if (Line.size() < StatusDigits + 1 || Line[0] != ' ')
    return malformed("the status line has no status code");
  const auto Status = parseDecimal(Line.substr(1, StatusDigits));
  if (!Status || *Status < MinStatus || *Status > MaxStatus)
    return malformed("the status code is invalid");
  Line.remove_prefix(1 + StatusDigits);
  if (!Line.empty() && Line[0] != ' ')
    return malformed("the status code has more than three digits");
  if (hasControlCharacter(Line))
    return malformed("the reason phrase contains control characters");
  Head.Status = static_cast<int>(*Status);
  Head.Reason = trimSpaces(Line);
  Head.IsHttp10 = Version == PreviousVersion;
  return {};
}

template <typename ParseLine>
Result<HttpHead> parseHead(std::string_view Text, ParseLine ParseFirstLine) {
  const std::size_t End = Text.find(LineEnd);
  if (End == std::string_view::npos)
    return malformed("the first line is not terminated");
  HttpHead Head;
  if (Result<void> FirstLine = ParseFirstLine(Text.substr(0, End), Head);
      !FirstLine)
    return tl::unexpected(FirstLine.error());
  Text.remove_prefix(End + LineEnd.size());
  if (Result<void> Fields = parseFields(Text, Head); !Fields)
    return tl::unexpected(Fields.error());
  return Head;
}

std::string writeFields(std::string Text, const HttpHead &Head) {
  for (const HttpField &Field : Head.Fields) {
    Text += Field.Name;
    Text += ": ";
    Text += Field.Value;
    Text += LineEnd;
  }
  Text += LineEnd;
  return Text;
}

} // namespace

bool equalIgnoringCase(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         std::equal(Left.begin(), Left.end(), Right.begin(),
                    [](char A, char B) { return lower(A) == lower(B); });
}

std::string_view trimSpaces(std::string_view Text) {
  while (!Text.empty() && (Text.front() == ' ' || Text.front() == '\t'))
    Text.remove_prefix(1);
  while (!Text.empty() && (Text.back() == ' ' || Text.back() == '\t'))
    Text.remove_suffix(1);
  return Text;
}

std::optional<std::uint64_t> parseDecimal(std::string_view Text) {
  std::uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  const auto [ParsedEnd, ParseError] =
      std::from_chars(Text.data(), End, Number);
  if (Text.empty() || ParseError != std::errc() || ParsedEnd != End)
    return std::nullopt;
  return Number;
}

const std::string *HttpHead::find(std::string_view Name) const {
  for (const HttpField &Field : this->Fields)
    if (equalIgnoringCase(Field.Name, Name))
      return &Field.Value;
  return nullptr;
}

std::string_view HttpHead::value(std::string_view Name) const {
  const std::string *Found = this->find(Name);
  return Found == nullptr ? std::string_view() : std::string_view(*Found);
}

std::size_t HttpHead::count(std::string_view Name) const {
  return static_cast<std::size_t>(std::count_if(
      this->Fields.begin(), this->Fields.end(), [Name](const HttpField &Field) {
        return equalIgnoringCase(Field.Name, Name);
      }));
}

void HttpHead::add(std::string Name, std::string Value) {
  this->Fields.push_back({std::move(Name), std::move(Value)});
}

void HttpHead::remove(std::string_view Name) {
  std::erase_if(this->Fields, [Name](const HttpField &Field) {
    return equalIgnoringCase(Field.Name, Name);
  });
}

std::size_t HttpHead::heapBytes() const {
  std::size_t Bytes = this->Fields.capacity() * sizeof(HttpField);
  for (const HttpField &Field : this->Fields)
    Bytes += parsleywing::heapBytes(Field.Name) +
             parsleywing::heapBytes(Field.Value);
  return Bytes;
}

bool HttpHead::hasToken(std::string_view Name, std::string_view Token) const {
  for (const HttpField &Field : this->Fields) {
    if (!equalIgnoringCase(Field.Name, Name))
      continue;
    std::string_view Remaining = Field.Value;
    while (true) {
      const std::size_t Comma = Remaining.find(',');
      if (equalIgnoringCase(trimSpaces(Remaining.substr(0, Comma)), Token))
        return true;
      if (Comma == std::string_view::npos)
        break;
      Remaining.remove_prefix(Comma + 1);
    }
  }
  return false;
}

std::size_t headLength(std::string_view Buffer) {
  const std::size_t End = Buffer.find(HeadEnd);
  return End == std::string_view::npos ? 0 : End + HeadEnd.size();
}

Result<HttpField> parseField(std::string_view Line) {
  const std::size_t Colon = Line.find(':');
  if (Colon == std::string_view::npos || !isToken(Line.substr(0, Colon)))
    return malformed("a header line does not have a valid field name");
  const std::string_view Value = trimSpaces(Line.substr(Colon + 1));
  if (hasControlCharacter(Value))
    return malformed("a header value contains control characters");
  return HttpField{std::string(Line.substr(0, Colon)), std::string(Value)};
}

Result<HttpHead> parseRequestHead(std::string_view Text) {
  return parseHead(Text, parseRequestLine);
}

Result<HttpHead> parseResponseHead(std::string_view Text) {
  return parseHead(Text, parseStatusLine);
}

std::string writeRequestHead(const HttpHead &Head) {
  return writeFields(Head.Method + ' ' + Head.Target + ' ' +
                         std::string(CurrentVersion) + std::string(LineEnd),
                     Head);
}

std::string writeResponseHead(const HttpHead &Head) {
  return writeFields(std::string(CurrentVersion) + ' ' +
                         std::to_string(Head.Status) + ' ' + Head.Reason +
                         std::string(LineEnd),
                     Head);
}

bool isKeepAlive(const HttpHead &Head) {
  if (Head.hasToken("Connection", "close"))
    return false;
  return !Head.IsHttp10 || Head.hasToken("Connection", "keep-alive");
}

void removeHopByHopFields(HttpHead &Head) {
  std::vector<std::string> ListedNames;
  for (const HttpField &Field : Head.Fields)
    if (!equalIgnoringCase(Field.Name, "Connection") &&
        Head.hasToken("Connection", Field.Name))
      ListedNames.push_back(Field.Name);
  for (const std::string &Name : ListedNames)
    Head.remove(Name);
  for (const std::string_view Name : HopByHopFields)
    Head.remove(Name);
}

} // namespace parsleywing
