#include "Backend/ConnectionCanceller.h"

#include <Poco/Exception.h>

namespace parsleywing {

void ConnectionCanceller::cancel() {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Cancelled = true;
  if (!this->Attached)
    return;
  try {
    this->Attached->shutdown();
  } catch (const Poco::Exception &) {
    // The peer has already closed the connection.
  }
}

bool ConnectionCanceller::attach(const Poco::Net::StreamSocket &Socket) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  if (this->Cancelled)
    return false;
  this->Attached = Socket;
  return true;
}

void ConnectionCanceller::detach() {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Attached.reset();
}

} // namespace parsleywing
