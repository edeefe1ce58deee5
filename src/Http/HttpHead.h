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
  /// The sender uses HTTP/1.0: no chunked encoding, and no keep-alive unless
  /// requested.
  bool IsHttp10 = false;
  std::vector<HttpField> Fields;

  /// The value of the first field with this name (case-insensitive), or null.
  const std::string *find(std::string_view Name) const;

  /// The value of the first field with this name, or an empty text.
  std::string_view value(std::string_view Name) const;

  std::size_t count(std::string_view Name) const;
  void add(std::string Name, std::string Value);
  void remove(std::string_view Name);

  /// The memory that the fields take, which may be many times their bytes.
  std::size_t heapBytes() const;

  /// Whether a comma-separated field contains this token (case-insensitive).
  bool hasToken(std::string_view Name, std::string_view Token) const;
};

/// The length of the head at the start of the buffer, including the empty line
/// that ends it; 0 if the head is not complete yet.
std::size_t headLength(std::string_view Buffer);

/// Parses a complete head including its empty line. Rejects forms that two
/// recipients could interpret differently, which would allow request smuggling:
/// folded lines, space before a colon, control characters, bare line feeds.
Result<HttpHead> parseRequestHead(std::string_view Text);
Result<HttpHead> parseResponseHead(std::string_view Text);

/// Parses a header or trailer line without its end.
Result<HttpField> parseField(std::string_view Line);

/// Serializes a head including its empty line.
std::string writeRequestHead(const HttpHead &Head);
std::string writeResponseHead(const HttpHead &Head);

/// Whether the sender keeps the connection open after this message.
bool isKeepAlive(const HttpHead &Head);

/// Removes the hop-by-hop fields, including those listed in the Connection
/// field.
void removeHopByHopFields(HttpHead &Head);

bool equalIgnoringCase(std::string_view Left, std::string_view Right);

/// Parses a decimal number. Nothing if the text contains anything else.
std::optional<std::uint64_t> parseDecimal(std::string_view Text);

std::string_view trimSpaces(std::string_view Text);

} // namespace parsleywing

#endif
