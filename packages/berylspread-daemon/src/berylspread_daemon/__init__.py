"""The entry VM daemon of berylspread."""
