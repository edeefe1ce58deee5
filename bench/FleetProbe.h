#ifndef PARSLEYWING_BENCH_FLEETPROBE_H
#define PARSLEYWING_BENCH_FLEETPROBE_H

#include <optional>
#include <string>

namespace parsleywing::bench {

/// The resource usage of a process, from /proc.
struct ProcessUse {
  double ProcessorSeconds = 0;
  double ResidentMebibytes = 0;
};

/// Returns zeros if the process does not exist.
ProcessUse useOf(int ProcessId);

/// Whether the child has exited, waited for or not.
bool hasExited(int ProcessId);

/// Whether something accepts connections at the address.
bool isListening(const std::string &Address);

/// Returns the response body of a GET request, or nothing if there is no
/// successful response.
std::optional<std::string> fetch(const std::string &Address,
                                 const std::string &Path);

/// Returns the response body of GET /metrics, or nothing if there is no
/// successful response.
inline std::optional<std::string> fetchMetrics(const std::string &Address) {
  return fetch(Address, "/metrics");
}

/// Returns the number after `"Name":` in JSON text; zero if there is none.
double jsonNumber(const std::string &Json, const std::string &Name);

/// Returns the sum of all series of this name in the text format of Prometheus,
/// or nothing if the name does not occur.
std::optional<double> metricSum(const std::string &Text,
                                const std::string &Name);

} // namespace parsleywing::bench

#endif
