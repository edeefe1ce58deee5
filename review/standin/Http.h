#ifndef PARSLEYWING_REVIEW_STANDIN_HTTP_H
#define PARSLEYWING_REVIEW_STANDIN_HTTP_H

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace review {

using Clock = std::chrono::steady_clock;

/// A request or a response with its whole body. Names of fields are in lower
/// case.
struct Message {
  /// The first line of the head.
  std::string Start;
  std::map<std::string, std::string> Fields;
  std::string Body;

  std::string field(const std::string &Name) const;
  /// The second word of the first line: a request's target, or a response's
  /// status.
  std::string target() const;
  std::string method() const;
  int status() const;
};

/// A TCP connection with blocking calls. Closes its descriptor at its end.
class Connection {
public:
  explicit Connection(int Descriptor) : Socket(Descriptor) {}
  ~Connection();
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  /// Connects from an address that the system chooses; the connection is not
  /// `isOpen` if that fails.
  static int connectTo(const std::string &Address, int Port);

  bool isOpen() const { return this->Socket >= 0; }
  int descriptor() const { return this->Socket; }
  void setTimeout(std::chrono::milliseconds Limit) const;

  bool send(std::string_view Bytes) const;
  /// Reads a whole message. False if the connection ends, breaks or stays
  /// silent for the time limit before that.
  bool receive(Message &Into);
  /// Whether the peer has ended the connection.
  bool peerLeft() const;
  void close();
  /// Ends the connection with a reset.
  void reset();

private:
  bool receiveMore();
  bool receiveLine(std::string &Line);
  bool receiveBytes(std::size_t Count, std::string &Into);

  int Socket;
  std::string Input;
};

/// Serves each connection at an address on a thread of its own.
class Server {
public:
  using Handler = std::function<void(Connection &)>;

  Server(const std::string &Address, int Port, Handler OnConnection);
  ~Server();
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

  /// Stops listening and ends all connections.
  void stop();

private:
  struct State;
  std::shared_ptr<State> Shared;
};

/// A socket that listens at an address without blocking. Ends the program with
/// status 2 if it cannot.
int listenOn(const std::string &Address, int Port);
/// A connection that is being made, without blocking; negative if it fails at
/// once.
int beginConnect(const std::string &Address, int Port);

std::string percentDecoded(std::string_view Text);
/// The parameters of a request's target.
std::map<std::string, std::string> queryOf(const std::string &Target);
std::string response(int Status, const std::string &Fields,
                     const std::string &Body);

} // namespace review

#endif
