#ifndef PARSLEYWING_PROGRAM_PROCESSUSAGE_H
#define PARSLEYWING_PROGRAM_PROCESSUSAGE_H

namespace parsleywing {

/// CPU time that this process has used, in seconds (getrusage).
double cpuSeconds();

/// Resident memory of this process in bytes; zero if the system does not report
/// it (/proc/self/statm).
double residentBytes();

} // namespace parsleywing

#endif
