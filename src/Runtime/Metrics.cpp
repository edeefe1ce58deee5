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

/// Writes one line: the name, its labels in braces, and the value.
void writeSample(std::ostream &Out, const std::string &Name,
                 const std::string &Labels, const std::string &Value) {
  Out << Prefix << Name;
  if (!Labels.empty())
    Out << '{' << Labels << '}';
  Out << ' ' << Value << '\n';
}

void writeHistogram(std::ostream &Out, const MetricName &Name,
                    const LatencyHistogram &Value) {
  const std::string LabelPrefix = Name.Labels.empty() ? "" : Name.Labels + ",";
  std::uint64_t Cumulative = 0;
  for (const LatencyHistogram::Bin &Bin : Value.bins()) {
    Cumulative += Bin.Count;
    writeSample(Out, Name.Name + "_bucket",
                LabelPrefix + "le=\"" + numberText(Bin.UpperEdgeSeconds) + "\"",
                std::to_string(Cumulative));
  }
  writeSample(Out, Name.Name + "_sum", Name.Labels,
              numberText(Value.sumSeconds()));
  writeSample(Out, Name.Name + "_count", Name.Labels,
              std::to_string(Cumulative));
}

} // namespace

void Metrics::insert(Series NewSeries) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto Key = [](const Series &S) {
    return std::pair(S.Name.Name, S.Name.Labels);
  };
  const auto Position =
      std::ranges::lower_bound(this->All, Key(NewSeries), std::less<>(), Key);
  PARSLEYWING_INVARIANT(Position == this->All.end() ||
                            Key(*Position) != Key(NewSeries),
                        "a metric is registered once");
  this->All.insert(Position, std::move(NewSeries));
}

Counter &Metrics::counter(MetricName Name) {
  auto Owned = std::make_unique<Counter>();
  Counter &Reference = *Owned;
  this->insert({MetricKind::Counter, std::move(Name), std::move(Owned)});
  return Reference;
}

Gauge &Metrics::gauge(MetricName Name) {
  auto Owned = std::make_unique<Gauge>();
  Gauge &Reference = *Owned;
  this->insert({MetricKind::Gauge, std::move(Name), std::move(Owned)});
  return Reference;
}

LatencyHistogram &Metrics::latency(MetricName Name) {
  auto Owned = std::make_unique<LatencyHistogram>();
  LatencyHistogram &Reference = *Owned;
  this->insert({MetricKind::Histogram, std::move(Name), std::move(Owned)});
  return Reference;
}

void Metrics::callback(MetricKind Kind, MetricName Name,
                       std::function<double()> Read) {
  PARSLEYWING_INVARIANT(Kind != MetricKind::Histogram,
                        "a callback returns one number");
  this->insert({Kind, std::move(Name), std::move(Read)});
}

std::string Metrics::render() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  std::ostringstream Out;
  std::string PreviousName;
  for (const Series &Each : this->All) {
    const MetricName &Name = Each.Name;
    if (Name.Name != PreviousName) {
      Out << "# HELP " << Prefix << Name.Name << ' ' << Name.Help << '\n'
          << "# TYPE " << Prefix << Name.Name << ' '
          << nameOf(MetricKindNames, Each.Kind) << '\n';
      PreviousName = Name.Name;
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
