// Random numbers. Classes that make random choices get a Random passed in, so
// that tests can repeat a run with the same seed.

#ifndef MIMOSA_BASE_RANDOM_H
#define MIMOSA_BASE_RANDOM_H

#include <cstdint>
#include <random>

namespace mimosa {

/// A source of random numbers.
class Random {
public:
  virtual ~Random() = default;

  /// A uniformly distributed 64-bit number.
  virtual uint64_t next() = 0;

  /// A uniformly distributed integer in [0, \p Bound); \p Bound must not be 0.
  uint64_t below(uint64_t Bound) {
    return std::uniform_int_distribution<uint64_t>(0, Bound - 1)(Adapter);
  }

  /// A uniformly distributed number in [0, 1).
  double uniform01() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }

protected:
  Random() : Adapter{*this} {}

private:
  struct Generator {
    using result_type = uint64_t;
    static constexpr uint64_t min() { return 0; }
    static constexpr uint64_t max() { return UINT64_MAX; }
    uint64_t operator()() { return Source.next(); }
    Random &Source;
  };
  Generator Adapter;
};

/// A Mersenne Twister; equal seeds give equal sequences.
class SeededRandom : public Random {
public:
  explicit SeededRandom(uint64_t Seed) : Engine(Seed) {}
  uint64_t next() override { return Engine(); }

private:
  std::mt19937_64 Engine;
};

} // namespace mimosa

#endif // MIMOSA_BASE_RANDOM_H
