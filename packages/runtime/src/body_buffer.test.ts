/**
 * Bodies in chunks of any size. Guards against bytes that are lost or changed, and
 * against chunks that keep the buffer from which they were read.
 */
import fc from 'fast-check';
import {BodyBuffer} from './body_buffer';
import {estimateDecodedBytes} from './json_cost';

test('a body is the same whatever its chunks are', () => {
  const chunk = fc.uint8Array({maxLength: 20_000}).map(bytes => {
    const slab = Buffer.alloc(65_536);
    slab.set(bytes);
    return slab.subarray(0, bytes.length);
  });
  fc.assert(
    fc.property(
      fc.array(chunk, {maxLength: 8}),
      fc.nat(3_000),
      (chunks, expectedBytes) => {
        const body = BodyBuffer.create(expectedBytes);
        for (const part of chunks) body.append(part);
        const whole = Buffer.concat(chunks);
        expect(body.getLength()).toBe(whole.length);
        expect(body.take().equals(whole)).toBe(true);
      },
    ),
    {numRuns: 50, seed: 1},
  );
});

test('a body of one small chunk does not keep what was read with it', () => {
  const body = BodyBuffer.create();
  body.append(Buffer.alloc(65_536).subarray(0, 1));
  expect(body.take().buffer.byteLength).toBeLessThan(2_048);
});

test('what a text costs once decoded follows its values, not its strings', () => {
  const values = Buffer.from(`[${'{},'.repeat(1_000)}{}]`);
  const text = Buffer.from(JSON.stringify('{"a":[,],\\"'.repeat(1_000)));
  expect(estimateDecodedBytes(values)).toBeGreaterThan(90_000);
  expect(estimateDecodedBytes(text)).toBe(text.length);
});
