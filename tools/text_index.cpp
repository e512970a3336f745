#include "base/rendezvous.h"
#include "tools/backend_stand_in.h"

#include <algorithm>
#include <sstream>

namespace mimosa {

namespace {
std::string lowered(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(), [](unsigned char C) {
    return static_cast<char>(std::tolower(C));
  });
  return Text;
}
} // namespace

TextIndex::TextIndex(const std::string &Text, uint32_t TotalShards)
    : Lines(TotalShards) {
  std::istringstream In(Text);
  std::string Line;
  while (std::getline(In, Line))
    if (!Line.empty())
      Lines[hash64(Line) % TotalShards].push_back(Line);
}

std::vector<TextIndex::Match>
TextIndex::search(uint32_t Shard, const std::vector<std::string> &Words,
                  size_t Limit) const {
  std::vector<Match> Out;
  if (Shard >= Lines.size())
    return Out;
  for (const std::string &Line : Lines[Shard]) {
    std::string Low = lowered(Line);
    bool All = std::all_of(Words.begin(), Words.end(), [&](const auto &Word) {
      return Low.find(lowered(Word)) != std::string::npos;
    });
    // The shorter the line, the better the match.
    if (All)
      Out.push_back({Line, 1.0 / static_cast<double>(1 + Line.size())});
  }
  std::sort(Out.begin(), Out.end(), [](const Match &A, const Match &B) {
    return A.Score != B.Score ? A.Score > B.Score : A.Id < B.Id;
  });
  if (Out.size() > Limit)
    Out.resize(Limit);
  return Out;
}

} // namespace mimosa
