const CAPACITY_TOKENS = 40_000;

/** Prefix cache of one engine with least-recently-used eviction. */
export class PrefixCache {
  private readonly held = new Map<string, number>();

  private tokens = 0;

  /** Returns true if the prefix was cached, and caches it otherwise. */
  use(prefix: string, tokens: number): boolean {
    if (tokens === 0) return false;
    const hit = this.held.delete(prefix);
    if (!hit) this.tokens += tokens;
    this.held.set(prefix, tokens);
    for (const [oldest, size] of this.held) {
      if (this.tokens <= CAPACITY_TOKENS) break;
      this.held.delete(oldest);
      this.tokens -= size;
    }
    return hit;
  }
}
