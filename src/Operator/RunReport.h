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

/// Adds up from the logs of all routers how requests ended, and what bound: by
/// route, account, router, allocator and second; why requests were refused; and
/// how many servers had room while an allocator refused. Makes no calls;
/// whoever reads the logs hands the lines over.
///
/// Routers leave lines out where they would log too many. The lines say so, and
/// the report how many are missing: counts are lower bounds.
class RunReport {
public:
  /// One line. `Source` names the router where the line has no name of its own
  /// before its time.
  void add(const std::string &Source, std::string_view Text);

  /// Tables that a person reads.
  void print(std::ostream &Out) const;
  /// What happened in each second, as a program for gnuplot with its data.
  void printPlot(std::ostream &Out) const;

  std::uint64_t requests() const { return this->All.Requests; }

private:
  struct Ends {
    std::uint64_t Requests = 0;
    std::uint64_t Served = 0;
    std::uint64_t Refused = 0;
    std::uint64_t Failed = 0;
    /// Seconds to the first piece of what was served.
    std::vector<float> FirstPiece;
  };
  /// Parts of an allocator's servers that had room when it refused: none, then
  /// below a quarter, a half, and more.
  static constexpr std::size_t RoomParts = 4;

  void addRequest(const std::string &Router, std::string_view Text);
  void addRefusedAsk(std::string_view Text);
  static void note(Ends &Into, const std::string &Outcome, float FirstPiece);
  static void printEnds(std::ostream &Out, const char *Title,
                        const std::map<std::string, Ends> &Of);

  Ends All;
  std::map<std::string, Ends> ByRoute;
  std::map<std::string, Ends> ByAccount;
  std::map<std::string, Ends> ByRouter;
  std::map<std::string, Ends> ByAllocator;
  std::map<std::string, Ends> BySecond;
  std::map<std::string, std::uint64_t> Reasons;
  std::array<std::uint64_t, RoomParts> RefusedAtRoom{};
  std::uint64_t LeftOut = 0;
};

} // namespace parsleywing

#endif
