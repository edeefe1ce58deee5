#ifndef PARSLEYWING_CALLER_REQUESTPARSER_H
#define PARSLEYWING_CALLER_REQUESTPARSER_H

#include "Caller/CallerRequest.h"
#include "Caller/Exchange.h"

#include <tl/expected.hpp>

namespace parsleywing {

/// What was parsed, or the error answer that says why not.
template <typename Value> using Parsed = tl::expected<Value, Problem>;

/// Checks the sizes and the framing in the head of a request, before anything
/// of it is believed.
Parsed<void> checkHead(const Exchange &E);

/// The account whose key the `Authorization` header carries.
Parsed<AccountId> findAccount(const Exchange &E,
                              const CallerDeclarations &Declared);

/// Whether the account may use the service.
bool mayUse(const Declarations &Declared, AccountId Account, ServiceId Service);

/// Reads the body up to the limit and never past it, and checks that it came
/// whole.
Parsed<std::string> readBody(Exchange &E);

/// Reads headers and body of a `POST /v1/responses` and checks them.
Parsed<CallerRequest> parseRequest(Exchange &E,
                                   const CallerDeclarations &Declared,
                                   AccountId Account);

/// The same for a call of a plain service that the account may use.
Parsed<CallerRequest> parsePlainRequest(Exchange &E,
                                        const CallerDeclarations &Declared,
                                        AccountId Account, ServiceId Service);

} // namespace parsleywing

#endif
