/**
 * Estimates what a JSON text costs once it is decoded. A text of very many small
 * values takes some twenty times its length.
 */

const QUOTE = 0x22;
const COMMA = 0x2c;
const BACKSLASH = 0x5c;
const OPEN_BRACKET = 0x5b;
const OPEN_BRACE = 0x7b;
/** Bytes of an empty object or array. */
const CONTAINER_BYTES = 64;
/** Bytes of a further value in one. */
const VALUE_BYTES = 32;

/** Returns an upper estimate of the bytes that a decoded text holds. */
export function estimateDecodedBytes(text: Buffer): number {
  let bytes = text.length;
  let isInString = false;
  for (let i = 0; i < text.length; i++) {
    const byte = text[i];
    if (isInString) {
      if (byte === BACKSLASH) i++;
      else if (byte === QUOTE) isInString = false;
    } else if (byte === QUOTE) isInString = true;
    else if (byte === COMMA) bytes += VALUE_BYTES;
    else if (byte === OPEN_BRACE || byte === OPEN_BRACKET) {
      bytes += CONTAINER_BYTES;
    }
  }
  return bytes;
}
