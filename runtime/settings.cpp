#include "runtime/settings.h"

#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <popt.h>
#include <sstream>

namespace mimosa {

namespace {
constexpr const char *Version = "0.1.0";
constexpr int VersionOption = 1;
constexpr int FirstSettingOption = 1000;
constexpr int UsageError = 2;

std::string variableName(const std::string &Flag) {
  std::string Out = "MIMOSA_";
  for (char C : Flag)
    Out.push_back(
        C == '-' ? '_'
                 : static_cast<char>(toupper(static_cast<unsigned char>(C))));
  return Out;
}
} // namespace

struct Settings::Setting {
  enum class Kind { Text, Number, Decimal, Toggle };
  std::string Name;
  std::string Help;
  Kind Type = Kind::Text;
  std::string *TextValue = nullptr;
  int64_t *NumberValue = nullptr;
  double *DecimalValue = nullptr;
  bool *ToggleValue = nullptr;
  int64_t Min = 0;
  int64_t Max = 0;
  double MinDecimal = 0;
  double MaxDecimal = 0;
  bool Required = false;
};

Settings::Settings(std::string Program, std::string Purpose,
                   std::string Arguments)
    : Program(std::move(Program)), Purpose(std::move(Purpose)),
      Arguments(std::move(Arguments)) {}

Settings::~Settings() = default;

void Settings::text(const char *Name, const char *Help, std::string *Value,
                    bool Required) {
  auto New = std::make_unique<Setting>();
  New->Name = Name;
  New->Help = Help;
  New->TextValue = Value;
  New->Required = Required;
  Registered.push_back(std::move(New));
}

std::vector<std::string> splitList(const std::string &List) {
  std::vector<std::string> Out;
  std::istringstream In(List);
  for (std::string Item; std::getline(In, Item, ',');)
    if (!Item.empty())
      Out.push_back(Item);
  return Out;
}

void Settings::number(const char *Name, const char *Help, int64_t *Value,
                      int64_t Min, int64_t Max) {
  auto New = std::make_unique<Setting>();
  New->Name = Name;
  New->Help = std::string(Help) + " (" + std::to_string(Min) + " to " +
              std::to_string(Max) + ", default " + std::to_string(*Value) + ")";
  New->Type = Setting::Kind::Number;
  New->NumberValue = Value;
  New->Min = Min;
  New->Max = Max;
  Registered.push_back(std::move(New));
}

void Settings::decimal(const char *Name, const char *Help, double *Value,
                       double Min, double Max) {
  auto New = std::make_unique<Setting>();
  New->Name = Name;
  New->Help = Help;
  New->Type = Setting::Kind::Decimal;
  New->DecimalValue = Value;
  New->MinDecimal = Min;
  New->MaxDecimal = Max;
  Registered.push_back(std::move(New));
}

void Settings::fileSetting(std::string *Path) {
  FilePath = Path;
  text("settings-file", "file with lines name=value", Path);
}

void Settings::toggle(const char *Name, const char *Help, bool *Value) {
  auto New = std::make_unique<Setting>();
  New->Name = Name;
  New->Help = Help;
  New->Type = Setting::Kind::Toggle;
  New->ToggleValue = Value;
  Registered.push_back(std::move(New));
}

std::string Settings::assign(Setting &S, const std::string &Value,
                             const std::string &Source) {
  if (S.Type == Setting::Kind::Text) {
    *S.TextValue = Value;
    return "";
  }
  if (S.Type == Setting::Kind::Toggle) {
    if (Value != "0" && Value != "1")
      return Source + " is '" + Value + "' but must be 0 or 1";
    *S.ToggleValue = Value == "1";
    return "";
  }
  if (S.Type == Setting::Kind::Decimal) {
    char *NumberEnd = nullptr;
    double Number = std::strtod(Value.c_str(), &NumberEnd);
    if (Value.empty() || *NumberEnd != '\0' || !(Number >= S.MinDecimal) ||
        !(Number <= S.MaxDecimal))
      return Source + " is '" + Value + "' but must be a number from " +
             std::to_string(S.MinDecimal) + " to " +
             std::to_string(S.MaxDecimal);
    *S.DecimalValue = Number;
    return "";
  }
  int64_t Number = 0;
  const char *End = Value.data() + Value.size();
  auto Parsed = std::from_chars(Value.data(), End, Number);
  if (Parsed.ec != std::errc() || Parsed.ptr != End || Number < S.Min ||
      Number > S.Max)
    return Source + " is '" + Value + "' but must be a whole number from " +
           std::to_string(S.Min) + " to " + std::to_string(S.Max);
  *S.NumberValue = Number;
  return "";
}

std::string Settings::readVariables() {
  for (auto &S : Registered) {
    const char *Value = std::getenv(variableName(S->Name).c_str());
    if (!Value)
      continue;
    std::string Problem =
        assign(*S, Value, "variable " + variableName(S->Name));
    if (!Problem.empty())
      return Problem;
  }
  return "";
}

std::string Settings::readFlags(int Argc, const char *const *Argv,
                                bool *ShowVersion) {
  std::vector<poptOption> Table;
  for (size_t I = 0; I < Registered.size(); ++I) {
    bool IsToggle = Registered[I]->Type == Setting::Kind::Toggle;
    Table.push_back(
        {Registered[I]->Name.c_str(), '\0',
         static_cast<unsigned>(IsToggle ? POPT_ARG_NONE : POPT_ARG_STRING),
         nullptr, FirstSettingOption + static_cast<int>(I),
         Registered[I]->Help.c_str(), IsToggle ? nullptr : "VALUE"});
  }
  Table.push_back({"version", '\0', POPT_ARG_NONE, nullptr, VersionOption,
                   "print the version and exit", nullptr});
  poptOption AutoHelp[] = {POPT_AUTOHELP POPT_TABLEEND};
  Table.push_back(AutoHelp[0]);
  Table.push_back(POPT_TABLEEND);
  poptContext Context = poptGetContext(
      Program.c_str(), Argc, const_cast<const char **>(Argv), Table.data(), 0);
  std::string Usage = "[FLAGS] " + Arguments + "\n" + Program + ": " + Purpose;
  poptSetOtherOptionHelp(Context, Usage.c_str());
  std::string Problem;
  int Option = 0;
  while (Problem.empty() && (Option = poptGetNextOpt(Context)) > 0) {
    if (Option == VersionOption) {
      *ShowVersion = true;
      break;
    }
    char *Argument = poptGetOptArg(Context);
    Setting &S = *Registered[static_cast<size_t>(Option - FirstSettingOption)];
    Problem = assign(S, Argument ? Argument : "1", "flag --" + S.Name);
    free(Argument);
  }
  if (Option < -1)
    Problem =
        std::string(poptBadOption(Context, 0)) + ": " + poptStrerror(Option);
  while (const char *Argument = poptGetArg(Context))
    Positional.emplace_back(Argument);
  poptFreeContext(Context);
  return Problem;
}

Settings::Setting *Settings::find(const std::string &Name) {
  for (auto &S : Registered)
    if (S->Name == Name)
      return S.get();
  return nullptr;
}

std::string Settings::readFile(const std::string &Path) {
  std::ifstream In(Path);
  if (!In)
    return "settings file " + Path + " cannot be read";
  std::string Line;
  while (std::getline(In, Line)) {
    size_t Equals = Line.find('=');
    if (Equals == std::string::npos || Equals + 1 == Line.size())
      continue;
    Setting *S = find(Line.substr(0, Equals));
    if (!S)
      continue;
    std::string Problem =
        assign(*S, Line.substr(Equals + 1), Path + ": " + S->Name);
    if (!Problem.empty())
      return Problem;
  }
  return "";
}

std::vector<std::string> Settings::validateFile(const std::string &Path) {
  std::ifstream In(Path);
  if (!In)
    return {"settings file " + Path + " cannot be read"};
  std::vector<std::string> Out;
  std::string Line;
  for (int LineNumber = 1; std::getline(In, Line); ++LineNumber) {
    std::string Location = Path + ":" + std::to_string(LineNumber) + ": ";
    size_t Equals = Line.find('=');
    if (Line.empty())
      continue;
    Setting *S = find(Line.substr(0, Equals));
    if (Equals == std::string::npos || !S) {
      Out.push_back(
          Location.append("'").append(Line).append("' is not a known setting"));
      continue;
    }
    std::string Value = Line.substr(Equals + 1);
    if (Value.empty() || Value.find("{{") != std::string::npos)
      continue;
    std::string Problem = assign(*S, Value, Location + S->Name);
    if (!Problem.empty())
      Out.push_back(Problem);
  }
  return Out;
}

std::string Settings::checkRequired() const {
  for (const auto &S : Registered)
    if (S->Required && S->TextValue->empty())
      return "flag --" + S->Name + " (or variable " + variableName(S->Name) +
             ") is required: " + S->Help;
  return "";
}

std::optional<int> Settings::parse(int Argc, const char *const *Argv) {
  bool ShowVersion = false;
  std::string Problem = readVariables();
  if (Problem.empty())
    Problem = readFlags(Argc, Argv, &ShowVersion);
  if (Problem.empty() && FilePath && !FilePath->empty()) {
    // Variables and flags were read to find the file, and are read again since
    // they take precedence over it.
    Problem = readFile(*FilePath);
    if (Problem.empty())
      Problem = readVariables();
    Positional.clear();
    if (Problem.empty())
      Problem = readFlags(Argc, Argv, &ShowVersion);
  }
  if (Problem.empty() && ShowVersion) {
    std::printf("%s %s\n", Program.c_str(), Version);
    return 0;
  }
  if (Problem.empty())
    Problem = checkRequired();
  if (Problem.empty() && !Positional.empty() && Arguments.empty())
    Problem = "unexpected argument '" + Positional.front() + "'";
  if (Problem.empty())
    return std::nullopt;
  std::fprintf(stderr, "%s: %s\n", Program.c_str(), Problem.c_str());
  return UsageError;
}

} // namespace mimosa
