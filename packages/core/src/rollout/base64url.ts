/** Base64url without padding (RFC 4648), implemented in plain JavaScript. */

const ALPHABET =
  'ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_';
const BITS_PER_CHARACTER = 6;
const BITS_PER_BYTE = 8;
const CHARACTER_MASK = 0x3f;
const BYTE_MASK = 0xff;

export function encodeBase64Url(bytes: Uint8Array): string {
  let text = '';
  let pendingBits = 0;
  let pendingBitCount = 0;
  for (const byte of bytes) {
    pendingBits = (pendingBits << BITS_PER_BYTE) | byte;
    pendingBitCount += BITS_PER_BYTE;
    while (pendingBitCount >= BITS_PER_CHARACTER) {
      pendingBitCount -= BITS_PER_CHARACTER;
      text += ALPHABET[(pendingBits >> pendingBitCount) & CHARACTER_MASK];
    }
    pendingBits &= (1 << pendingBitCount) - 1;
  }
  if (pendingBitCount === 0) return text;
  return (
    text +
    ALPHABET[
      (pendingBits << (BITS_PER_CHARACTER - pendingBitCount)) & CHARACTER_MASK
    ]
  );
}

/** Returns undefined unless the text is exactly what encoding produces. */
export function decodeBase64Url(text: string): Uint8Array | undefined {
  const bytes: number[] = [];
  let pendingBits = 0;
  let pendingBitCount = 0;
  for (const character of text) {
    const value = ALPHABET.indexOf(character);
    if (value < 0) return undefined;
    pendingBits = (pendingBits << BITS_PER_CHARACTER) | value;
    pendingBitCount += BITS_PER_CHARACTER;
    if (pendingBitCount < BITS_PER_BYTE) continue;
    pendingBitCount -= BITS_PER_BYTE;
    bytes.push((pendingBits >> pendingBitCount) & BYTE_MASK);
    pendingBits &= (1 << pendingBitCount) - 1;
  }
  const decoded = Uint8Array.from(bytes);
  return encodeBase64Url(decoded) === text ? decoded : undefined;
}
