#ifndef PARSLEYWING_CALLER_CALLERCONNECTION_H
#define PARSLEYWING_CALLER_CALLERCONNECTION_H

#include "Caller/CallerContext.h"
#include "Caller/CallerSocket.h"

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/TCPServerConnection.h>

namespace parsleywing {

/// POCO's session, which also tells whether it holds bytes of a pipelined
/// request. The socket shows nothing of them.
class CallerSession : public Poco::Net::HTTPServerSession {
public:
  using HTTPServerSession::buffered;
  using HTTPServerSession::HTTPServerSession;
};

/// One caller's connection: its requests, one after the other, on one thread.
/// Stands in for POCO's HTTPServerConnection, which answers what it cannot
/// read without a request id, limits no request as a whole and cannot be told
/// to close after the answer at hand.
class CallerConnection : public Poco::Net::TCPServerConnection {
public:
  CallerConnection(const Poco::Net::StreamSocket &Accepted, CallerContext &C);
  ~CallerConnection() override;

  void run() override;

private:
  bool waitForRequest(const CallerSession &Session);
  bool serveNext(CallerSession &Session);
  Problem unreadable() const;
  void endInOrder();

  CallerContext &Context;
  CallerSocketImpl *Limits;
  CallerSocket Caller;
  Poco::AutoPtr<Poco::Net::HTTPServerParams> Params;
  /// The last answer ends the connection.
  bool EndsBehindAnswer = false;
  /// The last request was answered without being read to its end.
  bool HasUnread = false;
};

} // namespace parsleywing

#endif
