#include "runtime/metrics.h"

#include <boost/histogram.hpp>
#include <cstdio>

namespace mimosa {

namespace bh = boost::histogram;

namespace {

constexpr double LowestSeconds = 1e-4;
constexpr double HighestSeconds = 100;
constexpr unsigned BucketsPerDecade = 20;
constexpr unsigned Decades = 6;
// Only every fifth bucket is rendered, which keeps the output small.
constexpr int RenderedBucketStep = 5;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;

std::string escaped(const std::string &Value) {
  std::string Out;
  for (char C : Value) {
    if (C == '\\' || C == '"')
      Out.push_back('\\');
    if (C == '\n')
      Out += "\\n";
    else
      Out.push_back(C);
  }
  return Out;
}

std::string labelText(const Labels &L, const std::string &Extra = "") {
  std::string Out;
  for (const auto &[Name, Value] : L)
    Out += (Out.empty() ? "" : ",") + Name + "=\"" + escaped(Value) + "\"";
  if (!Extra.empty())
    Out += (Out.empty() ? "" : ",") + Extra;
  return Out.empty() ? "" : "{" + Out + "}";
}

/// Whether a metric registered as a gauge is a counter by its name.
bool isCounterName(const std::string &Name) {
  constexpr std::string_view Suffix = "_total";
  return Name.size() > Suffix.size() &&
         Name.compare(Name.size() - Suffix.size(), Suffix.size(), Suffix) == 0;
}

std::string numberText(double Value) {
  char Text[32];
  std::snprintf(Text, sizeof(Text), "%.9g", Value);
  return Text;
}

} // namespace

struct LatencyHistogram::Impl {
  decltype(bh::make_histogram(LogAxis())) Buckets = bh::make_histogram(
      LogAxis(BucketsPerDecade * Decades, LowestSeconds, HighestSeconds));
  uint64_t Count = 0;
  double Sum = 0;
};

LatencyHistogram::LatencyHistogram() : State(std::make_unique<Impl>()) {}
LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::record(Duration Time) {
  double Value = inSeconds(Time);
  State->Buckets(Value);
  ++State->Count;
  State->Sum += Value;
}

uint64_t LatencyHistogram::count() const { return State->Count; }

Duration LatencyHistogram::quantile(double Q) const {
  if (State->Count == 0)
    return Duration(0);
  double Rank = Q * static_cast<double>(State->Count);
  double Cumulative = 0;
  const auto &Axis = State->Buckets.axis(0);
  for (int I = -1; I <= Axis.size(); ++I) {
    Cumulative += State->Buckets.at(I);
    if (Cumulative >= Rank && Cumulative > 0) {
      double UpperBound =
          I >= Axis.size() ? HighestSeconds : Axis.bin(I).upper();
      return std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(UpperBound));
    }
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(HighestSeconds));
}

std::string LatencyHistogram::render(const std::string &Name,
                                     const Labels &L) const {
  std::string Out;
  const auto &Axis = State->Buckets.axis(0);
  double Cumulative = State->Buckets.at(-1);
  for (int I = 0; I < Axis.size(); ++I) {
    Cumulative += State->Buckets.at(I);
    if ((I + 1) % RenderedBucketStep != 0)
      continue;
    std::string UpperBound = "le=\"" + numberText(Axis.bin(I).upper()) + "\"";
    Out += Name + "_bucket" + labelText(L, UpperBound) + " " +
           numberText(Cumulative) + "\n";
  }
  std::string Total = std::to_string(State->Count);
  Out += Name + "_bucket" + labelText(L, "le=\"+Inf\"") + " " + Total + "\n";
  Out += Name + "_sum" + labelText(L) + " " + numberText(State->Sum) + "\n";
  Out += Name + "_count" + labelText(L) + " " + Total + "\n";
  return Out;
}

Counter &MetricsRegistry::counter(const std::string &Name, const Labels &L) {
  auto &Slot = Counters[{Name, L}];
  if (!Slot)
    Slot = std::make_unique<Counter>();
  return *Slot;
}

LatencyHistogram &MetricsRegistry::histogram(const std::string &Name,
                                             const Labels &L) {
  auto &Slot = Histograms[{Name, L}];
  if (!Slot)
    Slot = std::make_unique<LatencyHistogram>();
  return *Slot;
}

void MetricsRegistry::gauge(const std::string &Name, const Labels &L,
                            std::function<double()> Read) {
  Gauges[{Name, L}] = std::move(Read);
}

std::string MetricsRegistry::render() const {
  std::string Out;
  std::string Previous;
  auto TypeLine = [&](const std::string &Name, const char *Type) {
    if (Name != Previous)
      Out += "# TYPE " + Name + " " + Type + "\n";
    Previous = Name;
  };
  for (const auto &[K, Value] : Counters) {
    TypeLine(K.first, "counter");
    Out += K.first + labelText(K.second) + " " +
           std::to_string(Value->value()) + "\n";
  }
  for (const auto &[K, Read] : Gauges) {
    TypeLine(K.first, isCounterName(K.first) ? "counter" : "gauge");
    Out += K.first + labelText(K.second) + " " + numberText(Read()) + "\n";
  }
  for (const auto &[K, Value] : Histograms) {
    TypeLine(K.first, "histogram");
    Out += Value->render(K.first, K.second);
  }
  return Out;
}

} // namespace mimosa
