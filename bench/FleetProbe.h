#ifndef PARSLEYWING_BENCH_FLEETPROBE_H
#define PARSLEYWING_BENCH_FLEETPROBE_H

#include <optional>
#include <string>

namespace parsleywing::bench {

/// What a process has used, from the system's process table.
struct ProcessUse {
  double ProcessorSeconds = 0;
  double ResidentMebibytes = 0;
};

/// Zeros where the process is gone.
ProcessUse useOf(int ProcessId);

/// True where the child has ended and was not waited for, or is gone.
bool hasEnded(int ProcessId);

/// True where something accepts connections there now.
bool isListening(const std::string &Address);

/// The body of the answer to GET, or nothing where there is none.
std::optional<std::string> fetch(const std::string &Address,
                                 const std::string &Path);

/// The body of GET /metrics, or nothing where there is none.
inline std::optional<std::string> fetchMetrics(const std::string &Address) {
  return fetch(Address, "/metrics");
}

/// The whole number behind `"Name":` in JSON text; zero where there is none.
double numberIn(const std::string &Json, const std::string &Name);

/// The sum of all series of this name in the usual text form of metrics, or
/// nothing where the name does not appear.
std::optional<double> metricIn(const std::string &Text,
                               const std::string &Name);

} // namespace parsleywing::bench

#endif
