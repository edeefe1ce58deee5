#include "Program/ProcessUsage.h"

#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

namespace parsleywing {

namespace {

double secondsOf(const timeval &Time) {
  constexpr double MicrosecondsPerSecond = 1e6;
  return static_cast<double>(Time.tv_sec) +
         static_cast<double>(Time.tv_usec) / MicrosecondsPerSecond;
}

} // namespace

double cpuSeconds() {
  rusage Usage{};
  ::getrusage(RUSAGE_SELF, &Usage);
  return secondsOf(Usage.ru_utime) + secondsOf(Usage.ru_stime);
}

double residentBytes() {
  std::ifstream In("/proc/self/statm");
  long TotalPages = 0;
  long ResidentPages = 0;
  In >> TotalPages >> ResidentPages;
  return static_cast<double>(ResidentPages) *
         static_cast<double>(::sysconf(_SC_PAGESIZE));
}

} // namespace parsleywing
