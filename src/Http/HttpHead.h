#ifndef PARSLEYWING_HTTP_HTTPHEAD_H
#define PARSLEYWING_HTTP_HTTPHEAD_H

#include "Runtime/Result.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace parsleywing {

/// One header field.
struct HttpField {
  std::string Name;
  std::string Value;
};

/// The head of an HTTP/1.1 message: a request has a method and a target, a
/// response a status and a reason. Fields keep their order.
struct HttpHead {
  std::string Method;
  std::string Target;
  int Status = 0;
  std::string Reason;
  /// The peer speaks HTTP/1.0: no chunks, and no kept connection unless asked.
  bool IsHttp10 = false;
  std::vector<HttpField> Fields;

  /// The value of the first field of this name (case does not matter), or null.
  const std::string *find(std::string_view Name) const;

  /// The value of the first field of this name, or nothing.
  std::string_view value(std::string_view Name) const;

  std::size_t count(std::string_view Name) const;
  void add(std::string Name, std::string Value);
  void remove(std::string_view Name);

  /// Whether a comma-separated field holds this word (case does not matter).
  bool hasToken(std::string_view Name, std::string_view Word) const;
};

/// The bytes up to and with the empty line that ends a head; 0 where it has not
/// come yet.
std::size_t headLength(std::string_view Buffer);

/// Parses a whole head with its empty line. Strict where leniency would let two
/// parties see different messages in the same bytes: no folded lines, no space
/// before a colon, no control characters, no bare line feeds.
Result<HttpHead> parseRequestHead(std::string_view Text);
Result<HttpHead> parseResponseHead(std::string_view Text);

/// The bytes of a head, with the empty line.
std::string writeRequestHead(const HttpHead &Head);
std::string writeResponseHead(const HttpHead &Head);

/// Whether the peer keeps the connection open after this message.
bool isKeepAlive(const HttpHead &Head);

/// Removes the fields that concern one connection only, with those that the
/// Connection field names.
void removeHopByHopFields(HttpHead &Head);

bool equalIgnoringCase(std::string_view Left, std::string_view Right);

/// A decimal number that fills the whole text; nothing else is taken.
std::optional<std::uint64_t> parseDecimal(std::string_view Text);

std::string_view trimSpaces(std::string_view Text);

} // namespace parsleywing

#endif
