/**
 * A 64-bit digest of text, made of two 32-bit hashes with different seeds. It
 * detects corrupted or mismatched texts, but doesn't prevent forgery.
 */
import {hashText} from '../shared/hash';

const HASH_DIGITS = 8;
const HEXADECIMAL_RADIX = 16;

/** Returns the digest as 16 hexadecimal digits. */
export function computeDigest(text: string): string {
  return formatHash(hashText(`a${text}`)) + formatHash(hashText(`${text}z`));
}

function formatHash(hash: number): string {
  return hash.toString(HEXADECIMAL_RADIX).padStart(HASH_DIGITS, '0');
}
