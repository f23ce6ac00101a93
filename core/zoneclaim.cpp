#include "zoneclaim.h"

namespace sequoiastand
{

unsigned long long rendezvousWeight(std::string_view key, std::string_view host)
{
    // FNV-1a with the finaliser of SplitMix64, because FNV-1a alone gives short, similar texts nearly the same high bits.
    unsigned long long hash = 0xcbf29ce484222325ULL;
    const auto mix = [&hash](std::string_view text) {
        for (const char character : text) {
            hash ^= static_cast<unsigned char>(character);
            hash *= 0x100000001b3ULL;
        }
    };
    mix(key);
    mix("/");
    mix(host);
    hash = (hash ^ (hash >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    hash = (hash ^ (hash >> 27U)) * 0x94d049bb133111ebULL;
    return hash ^ (hash >> 31U);
}

}
