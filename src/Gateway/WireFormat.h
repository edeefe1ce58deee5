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

/// What the head of a caller's request says.
struct CallerRequestFields {
  /// Names this attempt of the caller; each of its retries has another.
  std::string RequestId;
  std::string Host;
  /// How long the caller waits, from when it sent the request.
  std::optional<Duration> Timeout;
  std::string AccountKey;
  std::uint32_t PromptTokens = 0;
  std::uint32_t MaxOutputTokens = 0;
  /// The caller's guess of the output, where it gives one.
  std::uint32_t ExpectedOutputTokens = 0;
  /// In the order of the prompt; the last belongs to the request alone.
  std::vector<PromptPart> PromptParts;
  /// The caller has the stream's events up to this one.
  std::optional<std::uint64_t> LastEventId;
};

/// What the router adds to a request that it sends to a server.
struct ServerRequestFields {
  Duration TimeLeft{};
  /// The server for which it is meant: another one at the address refuses.
  std::string ServerId;
  /// The client account; empty on public routes.
  std::string Account;
  std::optional<std::uint64_t> LastEventId;
  /// The address of a server that keeps more of the prompt: the server fetches
  /// that in place of reading it. Empty for none.
  std::string CacheSourceAddress;
  std::size_t BodyBytes = 0;
  bool HasBody = false;
};

/// What a server says of its load.
struct ServerLoad {
  std::uint64_t Running = 0;
  std::uint64_t Waiting = 0;
  std::uint64_t Slots = 0;
};

/// What the head of a server's answer says.
struct ServerResponseFields {
  std::string RequestId;
  /// It carries the receipt without which a success does not count.
  bool HasReceipt = false;
  /// The server states that it did not run the request.
  bool NotRun = false;
  /// Another server has this address.
  bool WrongServer = false;
  std::optional<ServerLoad> Load;
  /// How long the server keeps an idle connection, where it says so.
  std::optional<Duration> IdleTimeout;
};

/// How requests and answers are written on the wire. The gateway knows only
/// these functions; the names of fields stand with their implementation.
struct WireFormat {
  Result<CallerRequestFields> (*ParseCallerRequest)(const HttpHead &Head);
  HttpHead (*BuildServerRequest)(const HttpHead &Caller,
                                 const ServerRequestFields &Added);
  ServerResponseFields (*ParseServerResponse)(const HttpHead &Head);
  /// Leaves of a server's answer what the caller is to see.
  HttpHead (*BuildCallerResponse)(const HttpHead &Server);
  /// Asks an engine which parts of prompts it keeps, and reads its answer.
  HttpHead (*BuildCachedPartsRequest)(const std::string &Host);
  Result<CachedParts> (*ParseCachedParts)(const std::string &Body);
  /// Adds the caller's identity of the request to an answer of the router.
  void (*MarkLocalReply)(HttpHead &Answer, const std::string &RequestId);
};

} // namespace parsleywing

#endif
