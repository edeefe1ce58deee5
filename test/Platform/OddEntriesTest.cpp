#include "OddValues.h"
#include "Platform/ConfigurationStore.h"
#include "Platform/RouterRegistration.h"
#include "Runtime/NumericAddress.h"

#include <criterion/criterion.h>

using namespace parsleywing;
using namespace parsleywing::test;

// Guards against odd entries of routers, or an odd manifest of a configuration,
// that end the process or name an address that has to be looked up.
Test(OddEntries, areReadOrRejected, .timeout = 60) {
  const EntryFields Fields{{"name", R"("r")"},
                           {"zone", R"("z")"},
                           {"callerAddress", R"("127.0.0.1:1")"},
                           {"peerAddress", R"("127.0.0.1:2")"},
                           {"operatorAddress", R"("127.0.0.1:3")"},
                           {"incarnation", "7"}};
  cr_assert(decodeRegistration(entryOf(Fields)).has_value());
  for (const auto &[Name, Sound] : Fields)
    for (const std::string &Value : oddValues()) {
      const auto Router = decodeRegistration(entryOf(Fields, Name, Value));
      if (!Router)
        continue;
      for (const std::string *Address :
           {&Router->CallerAddress, &Router->PeerAddress,
            &Router->OperatorAddress})
        cr_expect(Address->empty() || isNumericAddress(*Address),
                  "%s %s is accepted", Name.c_str(), Address->c_str());
    }
  for (const char *Text : {R"({"generation":@,"apply":"a","operator":"o",)"
                           R"("time":"t","hash":"h","parts":[]})",
                           R"({"generation":1,"apply":"a","operator":"o",)"
                           R"("time":"t","hash":@,"parts":[]})",
                           R"({"generation":1,"apply":"a","operator":"o",)"
                           R"("time":"t","hash":"h","parts":@})"})
    for (const std::string &Value : oddValues()) {
      std::string Entry = Text;
      Entry.replace(Entry.find('@'), 1, Value);
      (void)decodeManifest(Entry);
    }
}
