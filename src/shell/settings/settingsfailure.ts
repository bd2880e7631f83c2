import type { Failure } from '../../base/index.js';

/** Failure of a settings file, with its position. Lines and columns count from 1. */
export interface SettingsFailure extends Failure {
  readonly type: 'settings-unreadable' | 'settings-syntax' | 'settings-invalid';
  readonly file: string;
  readonly line?: number;
  readonly column?: number;
  /** Path of the field, for example `listen.port`. */
  readonly field?: string;
}
