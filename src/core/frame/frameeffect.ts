/** Decision on one frame. */
export type FrameEffect =
  | { readonly type: 'pass' }
  | {
      readonly type: 'drop';
      /**
       * `crossed`: of another request or a later attempt, or without a known body. `late`: of an earlier
       * attempt, or after the end. `doubled`: a duplicate.
       */
      readonly reason: 'crossed' | 'late' | 'doubled';
    }
  /** Frames are missing, so the answer is incomplete. */
  | { readonly type: 'gap'; readonly expected: number; readonly found: number };
