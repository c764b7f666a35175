#include "serving/prefix_table.h"

#include "kernel/rendezvous.h"

#include <algorithm>
#include <xxhash.h>

namespace shedshed {

std::vector<BlockHash> hashPromptBlocks(std::string_view model, std::string_view prompt) {
  std::vector<BlockHash> hashes;
  BlockHash chain = hash64(model);
  do {
    const std::string_view block = prompt.substr(0, kPromptBlockBytes);
    chain = XXH3_64bits_withSeed(block.data(), block.size(), chain);
    hashes.push_back(chain);
    prompt.remove_prefix(block.size());
  } while (!prompt.empty() && hashes.size() < kMaxPromptBlocks);
  return hashes;
}

const std::string* PrefixTable::find(BlockHash block) {
  auto& byBlock = entries_.get<1>();
  const auto found = byBlock.find(block);
  if (found == byBlock.end()) {
    return nullptr;
  }
  entries_.relocate(entries_.begin(), entries_.project<0>(found));
  return &found->engine;
}

void PrefixTable::put(BlockHash block, const std::string& engine) {
  const auto inserted = entries_.push_front({block, engine});
  if (!inserted.second) {
    entries_.modify(inserted.first, [&engine](Entry& entry) { entry.engine = engine; });
    entries_.relocate(entries_.begin(), inserted.first);
  }
  if (entries_.size() > capacity_) {
    entries_.pop_back();
  }
}

}  // namespace shedshed
