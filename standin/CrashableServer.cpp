#include "standin/CrashableServer.h"

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <sys/socket.h>

namespace parsleywing::standin {

CrashableServer::CrashableServer(int Most, Factory Made)
    : MaxConnections(Most), MakeHandlers(std::move(Made)) {}

CrashableServer::~CrashableServer() { this->stop(); }

void CrashableServer::start(const std::string &Address) {
  this->Place = Poco::Net::SocketAddress(Address);
  this->Threads = std::make_unique<Poco::ThreadPool>(2, this->MaxConnections);
  this->listen();
  this->Place = this->Server->socket().address();
  this->Crasher = std::thread([this] { this->runCrashes(); });
}

void CrashableServer::listen() {
  auto *Params = new Poco::Net::HTTPServerParams;
  Params->setMaxThreads(this->MaxConnections);
  Params->setMaxQueued(this->MaxConnections);
  Poco::Net::ServerSocket Socket;
  Socket.bind(this->Place, true, false);
  Socket.listen();
  this->Server = std::make_unique<Poco::Net::HTTPServer>(
      this->MakeHandlers(), *this->Threads, Socket, Params);
  this->Server->start();
}

void CrashableServer::crash(Duration BackAfter) {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  if (this->Wanted || this->Down)
    return;
  this->Wanted = true;
  this->AwayFor = BackAfter;
  this->Changed.notify_all();
  this->Changed.wait(Lock, [this] { return this->Stopping || this->Down; });
}

void CrashableServer::runCrashes() {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  while (!this->Stopping) {
    this->Changed.wait(Lock, [this] { return this->Stopping || this->Wanted; });
    if (this->Stopping)
      return;
    Lock.unlock();
    // The library stops listening only when it has looked for callers once
    // more.
    ::shutdown(this->Server->socket().impl()->sockfd(), SHUT_RDWR);
    this->Server->stopAll(true);
    this->Server.reset();
    Lock.lock();
    this->Wanted = false;
    this->Down = true;
    this->Changed.notify_all();
    this->Changed.wait_for(Lock, this->AwayFor,
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
  if (this->Crasher.joinable())
    this->Crasher.join();
  if (this->Server)
    this->Server->stopAll(true);
  this->Server.reset();
}

} // namespace parsleywing::standin
