#include "Decision/Configuration/ConfigurationText.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace parsleywing;

namespace {

std::string fileOf(const std::vector<int> &Shares) {
  std::string Text = "# first\n";
  for (std::size_t Index = 0; Index < Shares.size(); ++Index)
    if (Shares[Index] % 3 != 0)
      Text += "[account " + std::to_string(Index) +
              "]\nshare = " + std::to_string(Shares[Index]) + "\n";
  return Text;
}

} // namespace

Test(ConfigurationText, doesNotDependOnTheOrderOfSections) {
  const ConfigurationText First("[a]\nx = 1\n[b]\ny = 2\n");
  const ConfigurationText Second("[b]\ny = 2\n[a]\nx = 1");
  cr_assert_eq(First.fullText(), Second.fullText());
  cr_assert(First.hash() == Second.hash());
  cr_assert(textHashOf(toString(First.hash())) == First.hash());
}

Test(ConfigurationText, deltasAndPartsKeepEverySection) {
  cr_assert(rc::check([](const std::vector<int> &A, const std::vector<int> &B) {
    ConfigurationText From(fileOf(A));
    const ConfigurationText To(fileOf(B));
    From.apply(From.deltaTo(To));
    RC_ASSERT(From.fullText() == To.fullText());
    RC_ASSERT(From.hash() == To.hash());
    std::string Joined;
    for (const std::string &Part : To.parts(64))
      Joined += Part;
    RC_ASSERT(Joined == To.fullText());
  }));
}
