/** The simulated prefix cache of the stand-in engine. */

/** A set of cached prompts that evicts the least recently used one. */
export class PrefixCache {
  private readonly prompts = new Set<string>();

  private constructor(private readonly capacity: number) {}

  /** `capacity` is a number of prompts. */
  static create(capacity: number): PrefixCache {
    return new PrefixCache(capacity);
  }

  /** Caches a prompt as the latest used; returns whether it was a hit. */
  touchPrompt(prompt: string, onEvict?: (oldest: string) => void): boolean {
    const isHit = this.prompts.delete(prompt);
    this.prompts.add(prompt);
    if (this.prompts.size > this.capacity) {
      const [oldest] = this.prompts;
      this.prompts.delete(oldest);
      onEvict?.(oldest);
    }
    return isHit;
  }

  clear(): void {
    this.prompts.clear();
  }
}
