#ifndef PARSLEYWING_RUNTIME_OVERLOADED_H
#define PARSLEYWING_RUNTIME_OVERLOADED_H

namespace parsleywing {

/// Combines lambdas into one visitor for `std::visit`, typically one lambda for
/// each alternative of the variant. Has no run-time cost.
template <class... Visitors> struct Overloaded : Visitors... {
  using Visitors::operator()...;
};
template <class... Visitors> Overloaded(Visitors...) -> Overloaded<Visitors...>;

} // namespace parsleywing

#endif
