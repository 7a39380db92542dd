// The published schemas, compiled in, and the check against them.
#include <map>
#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include "config/config.h"
#include "schemas.h"

namespace rookproxy {

void check_schema(const nlohmann::json& section, const std::string& name) {
  using valijson::adapters::NlohmannJsonAdapter;
  const std::map<std::string, const char*> texts{
      {"access", kAccessSchema}, {"tls", kTlsSchema}, {"fleet", kFleetSchema}};
  const auto document = nlohmann::json::parse(texts.at(name));
  valijson::Schema schema;
  valijson::SchemaParser().populateSchema(NlohmannJsonAdapter(document), schema);
  valijson::ValidationResults results;
  valijson::Validator validator;
  if (validator.validate(schema, NlohmannJsonAdapter(section), &results)) return;
  // The deepest fault names the key that is wrong; those above it only say that something below is.
  valijson::ValidationResults::Error fault, deepest;
  while (results.popError(fault)) {
    if (fault.context.size() >= deepest.context.size()) deepest = fault;
  }
  // valijson words a path as '<root>', '[key]', '[0]'.
  std::string key = name;
  for (std::size_t i = 1; i < deepest.context.size(); ++i) {
    std::string part = deepest.context[i];
    if (part.size() >= 2 && part.front() == '[' && part.back() == ']') part = part.substr(1, part.size() - 2);
    if (part.size() >= 2 && part.front() == '"' && part.back() == '"') part = part.substr(1, part.size() - 2);
    key += "." + part;
  }
  throw ConfigError(key, deepest.description);
}

}  // namespace rookproxy
