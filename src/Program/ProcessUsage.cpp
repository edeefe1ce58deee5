#include "Program/ProcessUsage.h"

#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

namespace parsleywing {

namespace {

double secondsOf(const timeval &Time) {
  constexpr double MicrosecondsASecond = 1e6;
  return static_cast<double>(Time.tv_sec) +
         static_cast<double>(Time.tv_usec) / MicrosecondsASecond;
}

} // namespace

double cpuSeconds() {
  rusage Used{};
  ::getrusage(RUSAGE_SELF, &Used);
  return secondsOf(Used.ru_utime) + secondsOf(Used.ru_stime);
}

double residentBytes() {
  std::ifstream In("/proc/self/statm");
  long AllPages = 0;
  long ResidentPages = 0;
  In >> AllPages >> ResidentPages;
  return static_cast<double>(ResidentPages) *
         static_cast<double>(::sysconf(_SC_PAGESIZE));
}

} // namespace parsleywing
