#include "Process/Fleet.h"

#include <criterion/criterion.h>

using namespace parsleywing::test;

namespace {

std::string declarationsFor(const std::string &First,
                            const std::string &Second) {
  return "[account kettle]\nkey_sha256 = " + digestOfKey("kettle-key") +
         "\nservices = advisory\n[service advisory]\nservers = s1, s2\n"
         "[server s1]\navailability_zone = z1\naddress = " +
         First + "\n[server s2]\navailability_zone = z2\naddress = " + Second +
         "\n";
}

std::string settingsFor(const std::string &Name, const std::string &Callers,
                        const std::string &Declarations) {
  return "[router]\nname = " + Name + "\navailability_zone = z1\n[listen]\n" +
         "callers = " + Callers + "\n[declarations]\nfile = " + Declarations +
         "\n";
}

} // namespace

// Two routers and two engines run as processes; a caller gets a complete
// streamed response from either router.
Test(WholePath, EitherRouterServesAWholeStream) {
  const TemporaryFolder Folder;
  const std::string Engine1 = freeAddress();
  const std::string Engine2 = freeAddress();
  const ChildProcess E1("parsleywing-standin", {"--engine", Engine1},
                        Folder.path("e1.log"));
  const ChildProcess E2("parsleywing-standin", {"--engine", Engine2},
                        Folder.path("e2.log"));
  // On a busy machine an engine may start later than a router, which would then
  // correctly respond that there is no server.
  cr_assert(waitForListener(Engine1));
  cr_assert(waitForListener(Engine2));
  const std::string Declarations =
      Folder.write("declarations.ini", declarationsFor(Engine1, Engine2));
  for (const std::string Name : {"r1", "r2"}) {
    const std::string Callers = freeAddress();
    const std::string Settings =
        Folder.write(Name + ".ini", settingsFor(Name, Callers, Declarations));
    const ChildProcess Router("parsleywing", {"router", "--settings", Settings},
                              Folder.path(Name + ".log"));
    cr_assert(waitForListener(Callers));
    const CallerResponse Response =
        callRouter(Callers, "kettle-key",
                   R"({"model":"advisory","input":"tokens=3","stream":true})");
    const bool IsComplete =
        Response.Body.find("t2 ") != std::string::npos &&
        Response.Body.find("response.completed") != std::string::npos;
    cr_assert(Response.Status == 200 && IsComplete, "%s responded with %d: %s",
              Name.c_str(), Response.Status, Response.Body.c_str());
  }
}
