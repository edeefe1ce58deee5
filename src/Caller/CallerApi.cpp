#include "Caller/CallerApi.h"

#include "Caller/RequestHandler.h"
#include "Caller/RequestParser.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <sstream>

namespace parsleywing {

using Poco::Net::HTTPServerRequest;

namespace {

constexpr std::string_view ResponsesPath = "/v1/responses";
constexpr std::string_view ModelsPath = "/v1/models";
constexpr std::string_view HealthPath = "/health";
constexpr std::string_view ServicesPrefix = "/services/";

std::string stringify(const Poco::JSON::Object &Object) {
  std::ostringstream Out;
  Object.stringify(Out);
  return Out.str();
}

/// Sends a 405 and returns false unless the request has this method.
bool requireMethod(Exchange &E, const std::string &Method) {
  if (E.Request->getMethod() == Method)
    return true;
  E.Response.set("Allow", Method);
  E.sendProblem({ProblemType::MethodNotAllowed,
                 "This path is served with " + Method + " only."});
  return false;
}

std::string pathOf(const HTTPServerRequest &Request) {
  const std::string &Uri = Request.getURI();
  return Uri.substr(0, Uri.find('?'));
}

/// Extracts the service name from `/services/{service}/{path...}`.
std::string serviceOf(const std::string &Path) {
  const std::string Rest = Path.substr(ServicesPrefix.size());
  return Rest.substr(0, Rest.find('/'));
}

/// Serves a request that is scheduled by the control thread. `Parse` reads and
/// validates the rest of the request, given the declarations and the account.
template <typename ParseFunction>
void serveScheduled(Exchange &E, const ParseFunction &Parse) {
  const CallerDeclarations Declared = E.Context.declarations();
  const auto Account = findAccount(E, Declared);
  if (!Account) {
    E.sendProblem(Account.error());
    return;
  }
  // Acquired before the body is read, since slow senders occupy threads too.
  const CallerSettings &Settings = E.Context.Settings;
  const InFlightGuard Guard(E.Context.InFlight, *Account,
                            Settings.MaxInFlightPerAccount);
  if (!Guard.isAcquired()) {
    E.sendProblem({ProblemType::AccountLimit,
                   "The account has " +
                       std::to_string(Settings.MaxInFlightPerAccount) +
                       " requests in flight at this router.",
                   RequestOutcome::NotRun, Settings.LimitRetryAfter});
    return;
  }
  if (E.Request->getExpectContinue())
    E.Response.sendContinue();
  const Parsed<CallerRequest> Request = Parse(Declared, *Account);
  if (!Request) {
    E.sendProblem(Request.error());
    return;
  }
  if (Request->HandedOver) {
    E.Identity = Request->HandedOver->Identity;
    E.Response.set("X-Request-Id", E.Identity);
  }
  RequestHandler(E, *Request).serve();
}

} // namespace

void serveResponses(Exchange &E) {
  if (!requireMethod(E, HTTPServerRequest::HTTP_POST))
    return;
  serveScheduled(E, [&](const CallerDeclarations &Declared, AccountId Account) {
    return parseRequest(E, Declared, Account);
  });
}

void serveModels(Exchange &E) {
  if (!requireMethod(E, HTTPServerRequest::HTTP_GET))
    return;
  const CallerDeclarations Declared = E.Context.declarations();
  const auto Account = findAccount(E, Declared);
  if (!Account) {
    E.sendProblem(Account.error());
    return;
  }
  Poco::JSON::Array Models;
  for (const auto &[Id, Service] : Declared.Active->Services) {
    if (Service.Kind != ServiceKind::Engine ||
        !mayUse(*Declared.Active, *Account, Id))
      continue;
    Poco::JSON::Object Model;
    Model.set("id", Service.Name);
    Model.set("object", "model");
    Models.add(Model);
  }
  Poco::JSON::Object List;
  List.set("object", "list");
  List.set("data", Models);
  E.sendDocument(stringify(List));
}

void servePlainService(Exchange &E) {
  const std::string Name = serviceOf(pathOf(*E.Request));
  const auto Service = idOf<ServiceId>(Name);
  serveScheduled(E,
                 [&](const CallerDeclarations &Declared,
                     AccountId Account) -> Parsed<CallerRequest> {
                   if (!mayUse(*Declared.Active, Account, Service) ||
                       Declared.Active->Services.at(Service).Kind !=
                           ServiceKind::Plain)
                     return tl::unexpected<Problem>(
                         Problem{ProblemType::ServiceNotAllowed,
                                 "The account may not use this service."});
                   return parsePlainRequest(E, Declared, Account, Service);
                 });
}

void serveHealth(Exchange &E) {
  if (!requireMethod(E, HTTPServerRequest::HTTP_GET))
    return;
  if (E.Context.Draining) {
    E.sendProblem({ProblemType::Draining, "This router takes no new work.",
                   RequestOutcome::NotRun, E.Context.Settings.LimitRetryAfter});
    return;
  }
  E.sendDocument(R"({"status":"ok"})");
}

void serveExchange(Exchange &E) {
  if (E.Request->has(HandOverHeader))
    E.Response.set(AnsweredIdHeader, E.Request->get("X-Request-Id", ""));
  const auto Head = checkHead(E);
  if (!Head) {
    E.sendProblem(Head.error());
    return;
  }
  E.BodyRead = !E.Request->getChunkedTransferEncoding() &&
               E.Request->getContentLength64() <= 0;
  const std::string Path = pathOf(*E.Request);
  if (Path == ResponsesPath)
    serveResponses(E);
  else if (Path == ModelsPath)
    serveModels(E);
  else if (Path == HealthPath)
    serveHealth(E);
  else if (Path.starts_with(ServicesPrefix))
    servePlainService(E);
  else
    E.sendProblem({ProblemType::NotFound, "Nothing is served at this path."});
}

} // namespace parsleywing
