/** Slices of random JSON texts have the values that a decoder finds. */
import * as fc from 'fast-check';
import {JsonSlice, findMember, listSlices} from './json_slices';

const SEED = 20261205;

function decode(text: Buffer, {start, end}: JsonSlice): unknown {
  return JSON.parse(text.toString('utf8', start, end));
}

function createText(value: unknown, indent: number): [Buffer, JsonSlice] {
  const text = Buffer.from(` ${JSON.stringify(value, undefined, indent)}\n`);
  return [text, {start: 0, end: text.length}];
}

test('elements of an array are found whatever they hold', () => {
  fc.assert(
    fc.property(fc.array(fc.jsonValue()), fc.nat(2), (values, indent) => {
      const [text, whole] = createText(values, indent);
      const slices = listSlices(text, whole) ?? [];
      const decoded = slices.map(slice => decode(text, slice));
      expect(JSON.stringify(decoded)).toBe(JSON.stringify(values));
    }),
    {seed: SEED, numRuns: 300},
  );
});

test('a member of an object is found by its name', () => {
  const members = fc.dictionary(fc.string(), fc.jsonValue(), {minKeys: 1});
  fc.assert(
    fc.property(members, fc.nat(2), fc.nat(), (value, indent, number) => {
      const [text, whole] = createText(value, indent);
      const names = Object.keys(value);
      const name = names[number % names.length];
      const slice = findMember(text, whole, name) ?? whole;
      expect(JSON.stringify(decode(text, slice))).toBe(
        JSON.stringify(value[name]),
      );
    }),
    {seed: SEED, numRuns: 300},
  );
});

test.each(['', '[', '[1,2', '{"a":1', '[1]]', '["a]', '7', '[1}'])(
  'no slices are found beyond the end of %s',
  text => {
    const bytes = Buffer.from(text);
    const slices = listSlices(bytes, {start: 0, end: bytes.length}) ?? [];
    const ends = slices.map(({end}) => end);
    expect(Math.max(0, ...ends)).toBeLessThanOrEqual(bytes.length);
  },
);
