/** What to do with a frame. */
export type FrameEffect =
  | { readonly type: 'pass' }
  | {
      readonly type: 'drop';
      /** `crossed`: of another request. `late`: of an earlier attempt, or after the end. */
      readonly reason: 'crossed' | 'late' | 'doubled';
    }
  /** Frames are missing: the answer cannot be whole. */
  | { readonly type: 'gap'; readonly expected: number; readonly found: number };
