#include "standin/CrashableServer.h"

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <sys/socket.h>

namespace parsleywing::standin {

CrashableServer::CrashableServer(int ConnectionLimit, Factory HandlerFactory)
    : MaxConnections(ConnectionLimit), MakeHandlers(std::move(HandlerFactory)) {
}

CrashableServer::~CrashableServer() { this->stop(); }

void CrashableServer::start(const std::string &Address) {
  this->Endpoint = Poco::Net::SocketAddress(Address);
  this->Pool = std::make_unique<Poco::ThreadPool>(2, this->MaxConnections);
  this->listen();
  this->Endpoint = this->Server->socket().address();
  this->CrashThread = std::thread([this] { this->runCrashes(); });
}

void CrashableServer::listen() {
  auto *Params = new Poco::Net::HTTPServerParams;
  Params->setMaxThreads(this->MaxConnections);
  Params->setMaxQueued(this->MaxConnections);
  Poco::Net::ServerSocket Socket;
  Socket.bind(this->Endpoint, true, false);
  Socket.listen();
  this->Server = std::make_unique<Poco::Net::HTTPServer>(
      this->MakeHandlers(), *this->Pool, Socket, Params);
  this->Server->start();
}

void CrashableServer::crash(Duration RestartDelay) {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  if (this->CrashRequested || this->Down)
    return;
  this->CrashRequested = true;
  this->DownTime = RestartDelay;
  this->Changed.notify_all();
  this->Changed.wait(Lock, [this] { return this->Stopping || this->Down; });
}

void CrashableServer::runCrashes() {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  while (!this->Stopping) {
    this->Changed.wait(
        Lock, [this] { return this->Stopping || this->CrashRequested; });
    if (this->Stopping)
      return;
    Lock.unlock();
    // Without the shutdown, Poco would stop listening only after its next poll
    // for connections.
    ::shutdown(this->Server->socket().impl()->sockfd(), SHUT_RDWR);
    this->Server->stopAll(true);
    this->Server.reset();
    Lock.lock();
    this->CrashRequested = false;
    this->Down = true;
    this->Changed.notify_all();
    this->Changed.wait_for(Lock, this->DownTime,
                           [this] { return this->Stopping; });
    if (this->Stopping)
      return;
    this->listen();
    this->Down = false;
  }
}

void CrashableServer::stop() {
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Stopping = true;
  }
  this->Changed.notify_all();
  if (this->CrashThread.joinable())
    this->CrashThread.join();
  if (this->Server)
    this->Server->stopAll(true);
  this->Server.reset();
}

} // namespace parsleywing::standin
