/** Base64url without padding, as RFC 4648 defines it, in plain JavaScript. */

const ALPHABET =
  'ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_';
const BITS_PER_CHARACTER = 6;
const BITS_PER_BYTE = 8;
const CHARACTER_MASK = 0x3f;
const BYTE_MASK = 0xff;

/** Writes bytes as text. */
export function encodeBase64Url(bytes: Uint8Array): string {
  let text = '';
  let held = 0;
  let heldBits = 0;
  for (const byte of bytes) {
    held = (held << BITS_PER_BYTE) | byte;
    heldBits += BITS_PER_BYTE;
    while (heldBits >= BITS_PER_CHARACTER) {
      heldBits -= BITS_PER_CHARACTER;
      text += ALPHABET[(held >> heldBits) & CHARACTER_MASK];
    }
    held &= (1 << heldBits) - 1;
  }
  if (heldBits === 0) return text;
  return (
    text + ALPHABET[(held << (BITS_PER_CHARACTER - heldBits)) & CHARACTER_MASK]
  );
}

/** Reads bytes from text; undefined when it is not what encoding gives. */
export function decodeBase64Url(text: string): Uint8Array | undefined {
  const bytes: number[] = [];
  let held = 0;
  let heldBits = 0;
  for (const digit of text) {
    const value = ALPHABET.indexOf(digit);
    if (value < 0) return undefined;
    held = (held << BITS_PER_CHARACTER) | value;
    heldBits += BITS_PER_CHARACTER;
    if (heldBits < BITS_PER_BYTE) continue;
    heldBits -= BITS_PER_BYTE;
    bytes.push((held >> heldBits) & BYTE_MASK);
    held &= (1 << heldBits) - 1;
  }
  const decoded = Uint8Array.from(bytes);
  return encodeBase64Url(decoded) === text ? decoded : undefined;
}
