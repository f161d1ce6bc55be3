/**
 * Hashes for placement: FNV-1a over UTF-16 code units with a final mix, and
 * rendezvous (highest random weight) hashing based on it. Not cryptographic.
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Returns an unsigned 32-bit hash. */
export function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let i = 0; i < text.length; i++) {
    hash ^= text.charCodeAt(i);
    hash = Math.imul(hash, FNV_PRIME);
  }
  return mixBits(hash);
}

/** Finalizes a 32-bit hash so that every input bit affects every output bit
 * (MurmurHash3). */
function mixBits(value: number): number {
  let hash = value;
  hash ^= hash >>> 16;
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  hash = Math.imul(hash, 0xc2b2ae35);
  hash ^= hash >>> 16;
  return hash >>> 0;
}

/** A name with its rendezvous weight for one key. */
interface WeightedName {
  readonly name: string;
  readonly weight: number;
}

/** Returns the names in rendezvous order for the key, owner first. */
export function rankByRendezvous(
  key: string,
  names: readonly string[],
): string[] {
  const weighted: WeightedName[] = names.map(name => ({
    name,
    weight: hashText(`${name}\u0000${key}`),
  }));
  weighted.sort(compareWeight);
  return weighted.map(entry => entry.name);
}

function compareWeight(a: WeightedName, b: WeightedName): number {
  return b.weight - a.weight || (a.name < b.name ? -1 : 1);
}

/** Returns the name that owns a key; undefined if there are no names. */
export function findOwner(
  key: string,
  names: readonly string[],
): string | undefined {
  return rankByRendezvous(key, names)[0];
}
