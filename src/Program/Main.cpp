#include "Program/CommandLine.h"

int main(int ArgumentCount, char **ArgumentVector) {
  const std::vector<std::string> Arguments(ArgumentVector + 1,
                                           ArgumentVector + ArgumentCount);
  return static_cast<int>(parsleywing::runCommandLine(Arguments));
}
