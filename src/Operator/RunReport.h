#ifndef PARSLEYWING_OPERATOR_RUNREPORT_H
#define PARSLEYWING_OPERATOR_RUNREPORT_H

#include <array>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace parsleywing {

/// Aggregates from the logs of all routers how requests ended, by route,
/// account, router, allocator and second; why requests were refused; and how
/// many servers had free capacity when an allocator refused. Performs no I/O;
/// the caller reads the logs and passes the lines.
///
/// Routers suppress lines above their log rate limit. The lines contain the
/// number that was suppressed, and the report prints the total: all counts are
/// lower bounds.
class RunReport {
public:
  /// Adds one line. `Source` is the name of the router if the line has no name
  /// before its time.
  void add(const std::string &Source, std::string_view Text);

  /// Prints tables for operators.
  void print(std::ostream &Out) const;
  /// Prints a gnuplot program with the outcomes of each second as its data.
  void printPlot(std::ostream &Out) const;

  std::uint64_t requests() const { return this->Total.Requests; }

private:
  struct OutcomeCounts {
    std::uint64_t Requests = 0;
    std::uint64_t Served = 0;
    std::uint64_t Refused = 0;
    std::uint64_t Failed = 0;
    /// Seconds to the first chunk of each served response.
    std::vector<float> FirstChunkSeconds;
  };
  /// Buckets by the share of an allocator's servers that had free capacity when
  /// it refused: none, below a quarter, below a half, and more.
  static constexpr std::size_t CapacityBuckets = 4;

  void addRequest(const std::string &Router, std::string_view Text);
  void addRefusal(std::string_view Text);
  static void record(OutcomeCounts &Into, const std::string &Outcome,
                     float FirstChunkSeconds);
  static void printTable(std::ostream &Out, const char *Title,
                         const std::map<std::string, OutcomeCounts> &Groups);

  OutcomeCounts Total;
  std::map<std::string, OutcomeCounts> ByRoute;
  std::map<std::string, OutcomeCounts> ByAccount;
  std::map<std::string, OutcomeCounts> ByRouter;
  std::map<std::string, OutcomeCounts> ByAllocator;
  std::map<std::string, OutcomeCounts> BySecond;
  std::map<std::string, std::uint64_t> Reasons;
  std::array<std::uint64_t, CapacityBuckets> RefusalsByCapacity{};
  std::uint64_t SuppressedLines = 0;
};

} // namespace parsleywing

#endif
