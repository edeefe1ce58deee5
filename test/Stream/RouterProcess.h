#ifndef PARSLEYWING_TEST_STREAM_ROUTERPROCESS_H
#define PARSLEYWING_TEST_STREAM_ROUTERPROCESS_H

#include "Adapter/FakePlatformStore.h"
#include "Process/Fleet.h"
#include "ResponseText.h"

#include <Poco/Net/StreamSocket.h>
#include <map>
#include <memory>
#include <string>

namespace parsleywing::test {

/// One router as a child process, with its store in this process. Requests to
/// /unsafe/ (at most once) and /once/ (streams that cannot be resumed) go to
/// the servers of the service "plain", those to /safe/ to those of "other".
class RouterProcess {
public:
  /// `Servers` has the service of each address; `Lines` are added to the
  /// section "gateway" of the settings.
  explicit RouterProcess(const std::map<std::string, std::string> &Servers,
                         const std::string &Lines = "");

  ChildProcess &process() { return *this->Process; }
  /// A new connection of a caller.
  Poco::Net::StreamSocket connect() const;
  /// The memory of the process, in bytes; 0 once it has ended.
  std::size_t residentBytes() const;
  /// What the process has logged so far.
  std::string log() const;

  static std::string request(const std::string &Path, const std::string &Id,
                             std::chrono::milliseconds Deadline);

private:
  void waitUntilServing();

  TemporaryFolder Folder;
  FakePlatformStore Store;
  std::string CallerAddress;
  std::unique_ptr<ChildProcess> Process;
};

/// Reads until the response is complete by its framing or the connection ends,
/// for at most the socket's timeout. Sets `WasReset` if it was reset.
std::string readResponse(Poco::Net::StreamSocket &Connection, bool &WasReset);

} // namespace parsleywing::test

#endif
