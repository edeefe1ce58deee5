#ifndef PARSLEYWING_CALLER_CALLERCONNECTION_H
#define PARSLEYWING_CALLER_CALLERCONNECTION_H

#include "Caller/CallerContext.h"
#include "Caller/CallerSocket.h"

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/TCPServerConnection.h>

namespace parsleywing {

/// POCO's HTTP session with its `buffered` made public: bytes of a pipelined
/// request that the session has already read are not visible on the socket.
class CallerHttpSession : public Poco::Net::HTTPServerSession {
public:
  using HTTPServerSession::buffered;
  using HTTPServerSession::HTTPServerSession;
};

/// One HTTP connection of a caller. Serves its requests one after another on
/// one thread. Replaces POCO's HTTPServerConnection, which rejects malformed
/// requests without a request id, does not limit a request as a whole, and
/// cannot be told to close after the current response.
class CallerConnection : public Poco::Net::TCPServerConnection {
public:
  CallerConnection(const Poco::Net::StreamSocket &Accepted, CallerContext &C);
  ~CallerConnection() override;

  void run() override;

private:
  bool waitForRequest(const CallerHttpSession &Session);
  bool serveNext(CallerHttpSession &Session);
  Problem headProblem() const;
  void closeGracefully();

  CallerContext &Context;
  CallerSocketImpl *SocketImpl;
  CallerSocket Caller;
  Poco::AutoPtr<Poco::Net::HTTPServerParams> Params;
  /// The last response was final: the connection closes after it.
  bool CloseAfterResponse = false;
  /// The last request was answered before it was read completely.
  bool HasUnreadInput = false;
};

} // namespace parsleywing

#endif
