#ifndef PARSLEYWING_GATEWAY_WIREFORMAT_H
#define PARSLEYWING_GATEWAY_WIREFORMAT_H

#include "Http/HttpHead.h"
#include "Placement/PromptPart.h"
#include "Runtime/Clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace parsleywing {

/// Header fields of a caller's request.
struct CallerRequestFields {
  /// Differs between the caller's retries of one request.
  std::string RequestId;
  std::string Host;
  /// How long the caller waits for the response, counted from when it sent the
  /// request.
  std::optional<Duration> Timeout;
  std::string AccountKey;
  std::uint32_t PromptTokens = 0;
  std::uint32_t MaxOutputTokens = 0;
  /// The caller's estimate of the output tokens; 0 if it gives none.
  std::uint32_t ExpectedOutputTokens = 0;
  /// In prompt order; the last part is not shared with other requests.
  std::vector<PromptPart> PromptParts;
  /// The caller has received a part of the stream and asks for the rest.
  bool IsResumption = false;
  /// The last event of the stream that the caller has received; empty if it is
  /// no number.
  std::optional<std::uint64_t> LastEventId;
  /// The id of the caller's attempt that brought the first event of the stream;
  /// empty if the caller does not state it.
  std::string StreamBegunBy;
};

/// Header fields that the router adds to a request to a server.
struct ServerRequestFields {
  Duration TimeLeft{};
  /// The intended server; another one at the same address refuses the request.
  std::string ServerId;
  /// The client account; empty on public routes.
  std::string Account;
  std::optional<std::uint64_t> LastEventId;
  /// Address of a server that has cached more of the prompt. The server fetches
  /// the cached part from there instead of prefilling it. Empty for none.
  std::string CacheSourceAddress;
  std::size_t BodyBytes = 0;
  bool HasBody = false;
};

/// Load as reported by a server.
struct ServerLoad {
  std::uint64_t Running = 0;
  std::uint64_t Waiting = 0;
  std::uint64_t Slots = 0;
  /// How long work takes at the server now, in percent of the usual time. It
  /// changes many times a second. Empty if the server does not state it.
  std::optional<std::uint64_t> WorkTimePercent{};
};

/// Header fields of a server's response.
struct ServerResponseFields {
  std::string RequestId;
  /// Whether it carries the receipt that a successful response must have.
  bool HasReceipt = false;
  /// The server states that it has not run the request.
  bool NotRun = false;
  /// The request reached another server than the intended one.
  bool WrongServer = false;
  std::optional<ServerLoad> Load;
  /// The server states that it is about to stop and takes no new requests.
  bool Leaving = false;
  /// How long the server wants no more requests from this router. Only a
  /// refusal (503 or 429) can state this.
  std::optional<Duration> Pause;
  /// The server's idle timeout for connections, if stated.
  std::optional<Duration> IdleTimeout;
};

/// Translates between HTTP heads and the fields that the router needs. The
/// router uses only these functions; their implementation defines the names of
/// the header fields.
struct WireFormat {
  Result<CallerRequestFields> (*ParseCallerRequest)(const HttpHead &Head);
  HttpHead (*BuildServerRequest)(const HttpHead &CallerRequest,
                                 const ServerRequestFields &Fields);
  ServerResponseFields (*ParseServerResponse)(const HttpHead &Head);
  /// Removes the header fields that the caller must not see.
  HttpHead (*BuildCallerResponse)(const HttpHead &ServerResponse);
  /// The query for the prompt parts in an engine's cache, and its response.
  HttpHead (*BuildCachedPartsRequest)(const std::string &Host);
  Result<CachedParts> (*ParseCachedParts)(const std::string &Body);
  /// Adds the request ID to a response that the router generates itself.
  void (*MarkLocalReply)(HttpHead &Reply, const std::string &RequestId);
};

} // namespace parsleywing

#endif
