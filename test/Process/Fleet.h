#ifndef PARSLEYWING_TEST_PROCESS_FLEET_H
#define PARSLEYWING_TEST_PROCESS_FLEET_H

#include <Poco/Process.h>
#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace parsleywing::test {

/// An address on loopback that nobody listened on a moment ago.
std::string freeAddress();

/// A process of this repository, killed when the object goes.
class ChildProcess {
public:
  /// Starts a program of the build folder, with its output in `LogFile`.
  ChildProcess(const std::string &Program, std::vector<std::string> Arguments,
               const std::string &LogFile);
  ~ChildProcess();
  ChildProcess(ChildProcess &&Other) noexcept;
  ChildProcess &operator=(ChildProcess &&) = delete;
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  void signal(int Number) const;

  /// Waits for the end; the exit code.
  int wait();

  /// Whether it has ended; then its exit code is lost.
  bool ended();

  int id() const { return this->Pid; }

private:
  int Pid = 0;
};

/// A folder of its own under the system's temporary folder, removed at the end.
class TemporaryFolder {
public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder &) = delete;
  TemporaryFolder &operator=(const TemporaryFolder &) = delete;

  /// Writes a file and returns its path.
  std::string write(const std::string &Name, const std::string &Text) const;
  std::string path(const std::string &Name) const;

private:
  std::filesystem::path Path;
};

/// Waits until something accepts connections there; false after 10 s.
bool waitForListener(const std::string &Address);

/// An answer to a caller.
struct CallerAnswer {
  int Status = 0;
  std::string Outcome;
  std::string RequestId;
  std::string RetryAfter;
  std::string Body;
};

/// Sends one request to a router and reads the whole answer.
CallerAnswer callRouter(const std::string &Address, const std::string &Key,
                        const std::string &JsonBody);

/// The `key_sha256` value of a key.
std::string digestOfKey(const std::string &Key);

} // namespace parsleywing::test

#endif
