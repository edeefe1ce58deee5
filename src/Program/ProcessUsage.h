#ifndef PARSLEYWING_PROGRAM_PROCESSUSAGE_H
#define PARSLEYWING_PROGRAM_PROCESSUSAGE_H

namespace parsleywing {

/// Processor time that this process has used, in seconds (getrusage).
double cpuSeconds();

/// Memory of this process that is in RAM, in bytes; zero where the system does
/// not tell (/proc/self/statm).
double residentBytes();

} // namespace parsleywing

#endif
