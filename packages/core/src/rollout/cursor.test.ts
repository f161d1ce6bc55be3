import fc from 'fast-check';
import {readFuzzParameters} from '../testing';
import {encodeBase64Url} from './base64url';
import {DeliveredSet} from './cursor';
import {computeDigest} from './digest';

const KEY = 'briefs/step-1/d';
const SEED = 4_101;
const RUNS = 300;

/** Creates a cursor of arbitrary bytes with a valid checksum. */
function createCursor(slotCount: number, bytes: number[]): string {
  const body = encodeBase64Url(Uint8Array.from(bytes));
  const checksum = computeDigest(`${KEY}\u0000${slotCount}\u0000${body}`);
  return `c2.${body}.${checksum}`;
}

function readOutcome(cursor: string, slotCount = 12, key = KEY): string {
  const decoded = DeliveredSet.decode(key, slotCount, cursor);
  return decoded.match(
    set => `${set.count()} slots`,
    error => `${error.kind}: ${error.detail}`,
  );
}

test('a cursor encodes exactly the slots that were added', () => {
  fc.assert(
    fc.property(
      fc.integer({min: 1, max: 200}).chain(slotCount =>
        fc.record({
          slotCount: fc.constant(slotCount),
          slots: fc.array(fc.nat({max: slotCount - 1})),
        }),
      ),
      ({slotCount, slots}) => {
        const set = DeliveredSet.create(KEY, slotCount).addSlots(slots);
        const result = DeliveredSet.decode(KEY, slotCount, set.encode());
        const decoded = result._unsafeUnwrap();
        const all = Array.from({length: slotCount}, (_, slot) => slot);
        const expected = all.filter(slot => slots.includes(slot));
        expect(all.filter(slot => decoded.has(slot))).toEqual(expected);
        expect(decoded.count()).toBe(expected.length);
      },
    ),
    readFuzzParameters(SEED, RUNS),
  );
});

test('a cursor with one changed character is rejected', () => {
  const cursor = DeliveredSet.create(KEY, 64).addSlots([3, 40]).encode();
  fc.assert(
    fc.property(
      fc.nat({max: cursor.length - 1}),
      fc.constantFrom(...'abcXYZ019-_.'),
      (index, character) => {
        const changed =
          cursor.slice(0, index) + character + cursor.slice(index + 1);
        const isRejected = DeliveredSet.decode(KEY, 64, changed).isErr();
        expect(isRejected).toBe(changed !== cursor);
      },
    ),
    readFuzzParameters(SEED, RUNS),
  );
});

test('malformed cursors and cursors of other steps are rejected', () => {
  const valid = DeliveredSet.create(KEY, 12).addSlots([1, 11]).encode();
  expect({
    valid: readOutcome(valid),
    empty: readOutcome(''),
    otherStep: readOutcome(valid, 12, 'briefs/step-2/d'),
    otherCount: readOutcome(valid, 13),
    tooLong: readOutcome(createCursor(12, [1, 0, 0])),
    tooShort: readOutcome(createCursor(12, [1])),
    bitPastEnd: readOutcome(createCursor(12, [0, 0b1_0000])),
    lastSlot: readOutcome(createCursor(12, [0, 0b1000])),
    otherVersion: readOutcome(valid.replace('c2', 'c1')),
    extraPart: readOutcome(`${valid}.x`),
  }).toMatchSnapshot();
});
