#ifndef PARSLEYWING_GATEWAY_SERVERBOOK_H
#define PARSLEYWING_GATEWAY_SERVERBOOK_H

#include "Gateway/FleetView.h"
#include "Gateway/WireFormat.h"

#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace parsleywing {

/// What has to be placed.
struct PlacementQuestion {
  std::string Service;
  const std::vector<PromptPart> *Parts = nullptr;
  std::uint64_t PromptTokens = 0;
  /// Servers that are not to be used again for this request.
  const std::set<std::string> *Excluded = nullptr;
  std::string Zone;
  std::uint32_t Routers = 1;
  TimePoint Now;
};

/// A server for a request, and the work that the request is for it.
struct ServerChoice {
  std::string ServerId;
  /// Prompt tokens that the server will have to read.
  std::uint64_t UnreadTokens = 0;
  /// The work ahead of it, in prompt tokens.
  std::uint64_t Backlog = 0;
};

/// How a send to a server went, as far as the server's soundness is concerned.
enum class ServerVerdict {
  Sound,       ///< It answered.
  Failed,      ///< It answered with an error, or broke off.
  Full,        ///< It refused without running.
  Unreachable, ///< No connection came about.
  Silent,      ///< Nothing came within the limit.
};

inline constexpr EnumNames<ServerVerdict, 5> ServerVerdictNames{{
    {ServerVerdict::Sound, "sound"},
    {ServerVerdict::Failed, "failed"},
    {ServerVerdict::Full, "full"},
    {ServerVerdict::Unreachable, "unreachable"},
    {ServerVerdict::Silent, "silent"},
}};

/// What this router knows of the load and soundness of each server, and where
/// the next request goes. Makes no calls and has no clock of its own.
///
/// Requests that share a prompt part go to the server that is first for that
/// part in rendezvous order, so that all routers agree without a word and the
/// part is read and cached once; a server whose backlog is longer than
/// another's by more than reading the part again costs is passed over.
class ServerBook {
public:
  /// Takes the servers in force; forgets those that are gone.
  void setServers(std::shared_ptr<const ServerList> InForce);

  std::optional<ServerChoice> place(const PlacementQuestion &Asked);

  /// A request was sent; its prompt is unread until `noteReading`'s end.
  void noteSent(const std::string &ServerId, std::uint64_t UnreadTokens,
                const std::vector<PromptPart> &Parts, TimePoint Now);
  /// The first piece of the answer came: the prompt has been read.
  void noteFirstPiece(const std::string &ServerId, std::uint64_t UnreadTokens);
  /// The send ended. `UnreadTokens` as sent, or 0 after `noteFirstPiece`.
  void noteEnded(const std::string &ServerId, std::uint64_t UnreadTokens,
                 ServerVerdict Verdict, TimePoint Now);
  void noteHeard(const std::string &ServerId, TimePoint Now);
  /// Whether anything came from the server after this moment.
  bool heardSince(const std::string &ServerId, TimePoint Moment) const;
  void noteLoad(const std::string &ServerId, const ServerLoad &Load,
                TimePoint Now);

  /// Requests that this router has at the server.
  std::uint32_t running(const std::string &ServerId) const;

  /// Whether any server of the service may be used now.
  bool anyUsable(const std::string &Service, TimePoint Now) const;

  const ServerList &servers() const { return *this->InForce; }

private:
  struct Condition {
    std::uint32_t Running = 0;
    std::uint64_t UnreadTokens = 0;
    std::uint32_t FailuresInRow = 0;
    TimePoint AvoidUntil{};
    TimePoint LastHeard{};
    TimePoint LastSent{};
    ServerLoad Reported;
    TimePoint ReportedAt{};
    /// Prompt parts sent there, and when last.
    std::unordered_map<std::string, TimePoint> Parts;
  };

  bool usable(const Condition &Known, TimePoint Now) const;
  std::uint64_t backlogOf(const Condition &Known, TimePoint Now) const;
  /// Prompt tokens that the server would have to read for the request.
  std::uint64_t unreadAt(const Condition &Known,
                         const PlacementQuestion &Asked) const;
  void forgetParts(Condition &Known, TimePoint Now);

  std::shared_ptr<const ServerList> InForce = std::make_shared<ServerList>();
  std::unordered_map<std::string, Condition> Conditions;
};

} // namespace parsleywing

#endif
