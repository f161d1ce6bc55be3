/**
 * A 64-bit digest of text, from two differently seeded 32-bit hashes. It
 * finds damage and mix-ups; it is no protection against forgery.
 */
import {hashText} from '../shared/hash';

const HALF_DIGITS = 8;
const HEXADECIMAL = 16;

/** Returns the digest as 16 hexadecimal digits. */
export function computeDigest(text: string): string {
  return formatHalf(hashText(`a${text}`)) + formatHalf(hashText(`${text}z`));
}

function formatHalf(hash: number): string {
  return hash.toString(HEXADECIMAL).padStart(HALF_DIGITS, '0');
}
