#ifndef PARSLEYWING_RUNTIME_OVERLOADED_H
#define PARSLEYWING_RUNTIME_OVERLOADED_H

namespace parsleywing {

/// Joins lambdas into one visitor for `std::visit`, one lambda for each
/// alternative of the variant. Costs nothing at run time.
template <class... Visitors> struct Overloaded : Visitors... {
  using Visitors::operator()...;
};
template <class... Visitors> Overloaded(Visitors...) -> Overloaded<Visitors...>;

} // namespace parsleywing

#endif
