#include "Program/CommandLine.h"

int main(int ArgumentCount, char **Arguments) {
  const std::vector<std::string> Words(Arguments + 1,
                                       Arguments + ArgumentCount);
  return static_cast<int>(parsleywing::runCommandLine(Words));
}
