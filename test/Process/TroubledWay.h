#ifndef PARSLEYWING_TEST_PROCESS_TROUBLEDWAY_H
#define PARSLEYWING_TEST_PROCESS_TROUBLEDWAY_H

#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>
#include <atomic>
#include <memory>
#include <string>

namespace parsleywing::test {

/// What is wrong with a way at present. What is silent is held, and goes on
/// when the trouble is over.
enum class WayTrouble {
  None,
  Cut,        ///< Connections are reset, new ones too.
  SilentTo,   ///< Nothing passes towards the far end.
  SilentFrom, ///< Nothing passes from the far end.
  Delayed,    ///< Each piece is late.
};

/// A way of connections to one address, with the troubles that a test orders.
class TroubledWay {
public:
  explicit TroubledWay(const std::string &FarEnd);
  ~TroubledWay();
  TroubledWay(const TroubledWay &) = delete;
  TroubledWay &operator=(const TroubledWay &) = delete;

  std::string address() const;
  void setTrouble(WayTrouble Now) { this->Trouble = Now; }
  /// Ends all connections and refuses new ones, as where the far end's process
  /// has crashed, or listens again at the same address. Not from a connection
  /// of the way itself.
  void setAway(bool Away);
  void setCut(bool Cut) {
    this->setTrouble(Cut ? WayTrouble::Cut : WayTrouble::None);
  }

private:
  void listen();

  const std::string FarEnd;
  Poco::Net::SocketAddress Place{"127.0.0.1", 0};
  std::atomic<WayTrouble> Trouble{WayTrouble::None};
  std::atomic<bool> IsAway{false};
  Poco::ThreadPool Threads;
  std::unique_ptr<Poco::Net::TCPServer> Server;
};

} // namespace parsleywing::test

#endif
