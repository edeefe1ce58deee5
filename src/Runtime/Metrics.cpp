#include "Runtime/Metrics.h"

#include "Runtime/Invariant.h"
#include "Runtime/Overloaded.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace parsleywing {

namespace {

constexpr const char *Prefix = "parsleywing_";

std::string numberText(double Value) {
  if (std::isinf(Value))
    return Value > 0 ? "+Inf" : "-Inf";
  std::ostringstream Out;
  Out.precision(10);
  Out << Value;
  return Out.str();
}

/// One line: the name, its labels in braces, and the value.
void writeSample(std::ostream &Out, const std::string &Name,
                 const std::string &Labels, const std::string &Value) {
  Out << Prefix << Name;
  if (!Labels.empty())
    Out << '{' << Labels << '}';
  Out << ' ' << Value << '\n';
}

void writeHistogram(std::ostream &Out, const MetricName &Name,
                    const LatencyHistogram &Value) {
  const std::string Joint = Name.Labels.empty() ? "" : Name.Labels + ",";
  std::uint64_t Below = 0;
  for (const LatencyHistogram::Bin &Bin : Value.bins()) {
    Below += Bin.Count;
    writeSample(Out, Name.Name + "_bucket",
                Joint + "le=\"" + numberText(Bin.UpperEdgeSeconds) + "\"",
                std::to_string(Below));
  }
  writeSample(Out, Name.Name + "_sum", Name.Labels,
              numberText(Value.sumSeconds()));
  writeSample(Out, Name.Name + "_count", Name.Labels, std::to_string(Below));
}

} // namespace

void Metrics::insert(Series Added) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto Key = [](const Series &S) {
    return std::pair(S.Name.Name, S.Name.Labels);
  };
  const auto Place =
      std::ranges::lower_bound(this->All, Key(Added), std::less<>(), Key);
  PARSLEYWING_INVARIANT(Place == this->All.end() || Key(*Place) != Key(Added),
                        "a metric is registered once");
  this->All.insert(Place, std::move(Added));
}

Counter &Metrics::counter(MetricName Name) {
  auto Made = std::make_unique<Counter>();
  Counter &Reference = *Made;
  this->insert({MetricKind::Counter, std::move(Name), std::move(Made)});
  return Reference;
}

Gauge &Metrics::gauge(MetricName Name) {
  auto Made = std::make_unique<Gauge>();
  Gauge &Reference = *Made;
  this->insert({MetricKind::Gauge, std::move(Name), std::move(Made)});
  return Reference;
}

LatencyHistogram &Metrics::latency(MetricName Name) {
  auto Made = std::make_unique<LatencyHistogram>();
  LatencyHistogram &Reference = *Made;
  this->insert({MetricKind::Histogram, std::move(Name), std::move(Made)});
  return Reference;
}

void Metrics::callback(MetricKind Kind, MetricName Name,
                       std::function<double()> Read) {
  PARSLEYWING_INVARIANT(Kind != MetricKind::Histogram,
                        "a callback gives one number");
  this->insert({Kind, std::move(Name), std::move(Read)});
}

std::string Metrics::render() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  std::ostringstream Out;
  std::string Previous;
  for (const Series &Each : this->All) {
    const MetricName &Name = Each.Name;
    if (Name.Name != Previous) {
      Out << "# HELP " << Prefix << Name.Name << ' ' << Name.Help << '\n'
          << "# TYPE " << Prefix << Name.Name << ' '
          << nameOf(MetricKindNames, Each.Kind) << '\n';
      Previous = Name.Name;
    }
    const auto WriteNumber = [&](const std::string &Value) {
      writeSample(Out, Name.Name, Name.Labels, Value);
    };
    std::visit(Overloaded{
                   [&](const std::unique_ptr<Counter> &Value) {
                     WriteNumber(std::to_string(Value->value()));
                   },
                   [&](const std::unique_ptr<Gauge> &Value) {
                     WriteNumber(std::to_string(Value->value()));
                   },
                   [&](const std::unique_ptr<LatencyHistogram> &Value) {
                     writeHistogram(Out, Name, *Value);
                   },
                   [&](const std::function<double()> &Read) {
                     WriteNumber(numberText(Read()));
                   },
               },
               Each.Value);
  }
  return Out.str();
}

} // namespace parsleywing
