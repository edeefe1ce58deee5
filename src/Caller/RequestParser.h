#ifndef PARSLEYWING_CALLER_REQUESTPARSER_H
#define PARSLEYWING_CALLER_REQUESTPARSER_H

#include "Caller/CallerRequest.h"
#include "Caller/Exchange.h"

#include <tl/expected.hpp>

namespace parsleywing {

/// A parsed value, or the problem to answer the request with.
template <typename Value> using Parsed = tl::expected<Value, Problem>;

/// Checks the sizes and the body framing stated in the request head. Must be
/// called before the request is processed further.
Parsed<void> checkHead(const Exchange &E);

/// Returns the account whose key is in the `Authorization` header.
Parsed<AccountId> findAccount(const Exchange &E,
                              const CallerDeclarations &Declared);

/// Whether the account may use the service.
bool mayUse(const Declarations &Declared, AccountId Account, ServiceId Service);

/// Reads the body and checks that it is complete and within the size limit.
Parsed<std::string> readBody(Exchange &E);

/// Parses and validates the headers and body of a `POST /v1/responses`.
Parsed<CallerRequest> parseRequest(Exchange &E,
                                   const CallerDeclarations &Declared,
                                   AccountId Account);

/// Parses and validates a call of a plain service that the account may use.
Parsed<CallerRequest> parsePlainRequest(Exchange &E,
                                        const CallerDeclarations &Declared,
                                        AccountId Account, ServiceId Service);

} // namespace parsleywing

#endif
