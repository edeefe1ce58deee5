#ifndef PARSLEYWING_GATEWAY_GATEWAYATTEMPT_H
#define PARSLEYWING_GATEWAY_GATEWAYATTEMPT_H

#include "Crash/CrashRegistry.h"
#include "Gateway/UpstreamConnection.h"
#include "Http/EventSplitter.h"
#include "Placement/CorrelationId.h"
#include "Placement/ServerTable.h"

#include <cstdint>
#include <memory>
#include <string>

namespace parsleywing {

/// One attempt of a request at a server, from its sending to its end.
struct GatewayAttempt {
  /// Distinguishes the attempts of one request; zero before the first.
  std::uint32_t Number = 0;
  /// Identifies the attempt to the allocator.
  CorrelationId Id;
  /// Null once the attempt has ended.
  std::shared_ptr<UpstreamConnection> Upstream;
  ServerChoice Choice;
  /// The load on its server; the prompt counts as prefilled from the first
  /// chunk on.
  AttemptLoad Load;
  bool PromptPrefilled = false;
  TimePoint SentAt{};
  TimePoint LastReceivedAt{};
  TimePoint HeadReceivedAt{};
  /// When the server began to answer the request.
  std::optional<TimePoint> BegunAt;
  /// The answer has shown that the parts of the prompt do not crash the server.
  bool HasSurvived = false;
  std::string ServerId;
  std::string ServerVersion;
  SoftwareId ServerSoftware{};
  bool ReusedConnection = false;
  bool HeadReceived = false;
  /// The response has ended with its connection, which may have been a crash.
  bool EndedWithConnection = false;
  HttpHead ResponseHead;
  /// The memory of the head.
  std::size_t HeadBytes = 0;
  ServerResponseFields ResponseFields;
  /// The body of a response that is no stream.
  std::string ResponseBody;
  /// Holds the event of a stream that is not complete yet.
  EventSplitter Splitter;
  /// The bytes of the body since the response last made progress.
  std::size_t BytesSinceProgress = 0;
  /// What a silent server sent that is no progress, so that it does not end the
  /// attempt at another server.
  std::string Withheld;
  /// The silence timer has run out while input was unread.
  bool AwaitedUnread = false;
  /// Reading is paused, since the caller reads slowly.
  bool ReadingPaused = false;
  TimePoint PausedAt{};
  /// When the last long pause of reading ended; see `isCutOffUnread`.
  std::optional<TimePoint> LongPauseEndedAt;
  /// The memory of the buffers above.
  BufferShare Buffered;

  std::size_t bufferedBytes() const {
    return this->HeadBytes + this->ResponseBody.size() + this->Withheld.size() +
           this->Splitter.partialEvent().size();
  }
  void recordBuffered() {
    this->Buffered.set(this->HeadBytes + heapBytes(this->ResponseBody) +
                       heapBytes(this->Withheld) +
                       this->Splitter.partialEvent().size());
  }

  /// The process of the server that the request was sent to.
  ServerProcess process() const {
    return {this->Choice.Server, this->Load.ServerStartedMs};
  }
  bool isOpen() const { return this->Upstream != nullptr; }
};

/// A complete response of a server with an error status.
struct ServerErrorResponse {
  HttpHead Head;
  std::string Body;
};

} // namespace parsleywing

#endif
