/**
 * Finds the elements and members of a JSON text without decoding it, so that an
 * element that is too large can be left out before it takes memory and time.
 */

/** Where a value stands in a text, as byte offsets. */
export interface JsonSlice {
  readonly start: number;
  readonly end: number;
}

const QUOTE = 0x22;
const BACKSLASH = 0x5c;
const COMMA = 0x2c;
const COLON = 0x3a;
/** Bytes that open and close arrays and objects. */
const OPENING: ReadonlySet<number> = new Set([0x5b, 0x7b]);
const CLOSING: ReadonlySet<number> = new Set([0x5d, 0x7d]);

/**
 * Lists the elements of an array, or the members of an object with their names.
 * The text is not validated: what is found may still be no JSON. Returns undefined if the text at `slice` is no array or object that ends there.
 */
export function listSlices(
  text: Buffer,
  slice: JsonSlice,
): JsonSlice[] | undefined {
  const {start, end} = trimSlice(text, slice);
  if (!OPENING.has(text[start]) || !CLOSING.has(text[end - 1])) {
    return undefined;
  }
  const parts: JsonSlice[] = [];
  let partStart = start + 1;
  let depth = 0;
  for (let i = start + 1; i < end - 1; i++) {
    const byte = text[i];
    if (byte === QUOTE) i = skipString(text, i, end);
    else if (OPENING.has(byte)) depth += 1;
    else if (CLOSING.has(byte)) depth -= 1;
    else if (byte === COMMA && depth === 0) {
      parts.push({start: partStart, end: i});
      partStart = i + 1;
    }
    if (depth < 0) return undefined;
  }
  if (depth !== 0) return undefined;
  const last = trimSlice(text, {start: partStart, end: end - 1});
  if (last.start < last.end) parts.push(last);
  return parts;
}

/** Returns the value of a member of an object; undefined if there is none. */
export function findMember(
  text: Buffer,
  slice: JsonSlice,
  name: string,
): JsonSlice | undefined {
  const key = Buffer.from(JSON.stringify(name));
  for (const part of listSlices(text, slice) ?? []) {
    const {start, end} = trimSlice(text, part);
    const keyEnd = start + key.length;
    if (!text.subarray(start, keyEnd).equals(key)) continue;
    const value = trimSlice(text, {start: keyEnd, end});
    if (text[value.start] !== COLON) continue;
    return trimSlice(text, {start: value.start + 1, end});
  }
  return undefined;
}

/** Returns the offset of the quote that ends the string at `start`. */
function skipString(text: Buffer, start: number, end: number): number {
  let i = start + 1;
  while (i < end && text[i] !== QUOTE) i += text[i] === BACKSLASH ? 2 : 1;
  return i;
}

/** Leaves out white space on both sides. */
function trimSlice(text: Buffer, {start, end}: JsonSlice): JsonSlice {
  let first = start;
  let last = end;
  while (first < last && isSpace(text[first])) first += 1;
  while (last > first && isSpace(text[last - 1])) last -= 1;
  return {start: first, end: last};
}

function isSpace(byte: number): boolean {
  return byte === 0x20 || byte === 0x0a || byte === 0x0d || byte === 0x09;
}
